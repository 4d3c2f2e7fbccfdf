#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinwharf::serving {

/// One token of an answer as an endpoint sent it.
struct token_chunk {
    std::uint32_t attempt = 0; ///< Number that `stream_assembler::begin_attempt` returned.
    std::uint64_t offset = 0;  ///< Index of the token in the answer.
    std::string token;

    auto operator<=>(const token_chunk&) const = default;
};

/// Result of `stream_assembler::accept`.
enum class chunk_result {
    delivered,  ///< The answer grew by at least one token.
    held,       ///< The chunk is buffered until the chunks before it arrive.
    duplicate,  ///< The offset was already delivered or buffered.
    superseded, ///< The chunk belongs to an earlier attempt.
    too_early,  ///< The chunk lies beyond the reorder window and was dropped.
    conflict,   ///< The offset lies beyond the end that the attempt announced.
};

/// Assembles the chunks of an answer in order. Each offset is added to the answer exactly once, even if
/// chunks arrive late, repeatedly, out of order or from a superseded attempt.
class stream_assembler {
public:
    /// Size of the reorder window, counted from the first missing token. Bounds the memory of one request.
    static constexpr std::uint64_t reorder_window_tokens = 1024;

    /// Starts a new attempt and returns its number; the first is 1. Chunks of earlier attempts are dropped
    /// from now on.
    std::uint32_t begin_attempt();
    /// Restores the state of a request that another process handed over. `tokens` become the answer so far.
    void restore(std::vector<std::string> tokens, std::uint32_t last_attempt);

    /// Adds a chunk to the answer, buffers it or drops it.
    chunk_result accept(token_chunk chunk);
    /// Records that the attempt announced the end of its answer before `end_offset`. Ignored for a superseded
    /// attempt.
    void finish(std::uint32_t attempt, std::uint64_t end_offset);

    /// The answer so far: all tokens from offset 0 to the first missing one.
    [[nodiscard]] const std::vector<std::string>& tokens() const { return m_tokens; }
    /// Whether the end was announced and every token before it has arrived.
    [[nodiscard]] bool complete() const { return m_end && m_tokens.size() >= *m_end; }
    /// Number of the current attempt, 0 before the first.
    [[nodiscard]] std::uint32_t attempt() const { return m_attempt; }

private:
    std::uint32_t m_attempt = 0;
    std::vector<std::string> m_tokens;
    std::map<std::uint64_t, std::string> m_reorder_buffer; ///< Early tokens by offset.
    std::optional<std::uint64_t> m_end;                    ///< Offset after the last token, once announced.
};

} // namespace siskinwharf::serving
