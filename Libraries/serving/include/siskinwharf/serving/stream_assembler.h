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
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
    std::string token;

    auto operator<=>(const token_chunk&) const = default;
};

/// What became of a chunk.
enum class chunk_result {
    delivered,  ///< The answer grew by at least one token.
    held,       ///< The chunk came early and waits for the ones before it.
    duplicate,  ///< The offset had been delivered.
    superseded, ///< The chunk belongs to an earlier attempt.
    too_early,  ///< The chunk is further ahead than the reorder_window_tokens allows and was dropped.
    conflict,   ///< The offset lies after the end that the attempt has announced.
};

/// Puts the chunks of an answer in order. Each offset becomes part of the answer exactly once, whatever
/// arrives late, twice, out of order or from a superseded attempt.
class stream_assembler {
public:
    /// Chunks that may wait for an earlier one. Bounds the memory of one request.
    static constexpr std::uint64_t reorder_window_tokens = 1024;

    /// Starts a new attempt; from now on, chunks of earlier attempts are dropped. Returns its number, from 1.
    std::uint32_t begin_attempt();
    /// Continues with a record that was handed over: its tokens are part of the answer already.
    void restore(std::vector<std::string> tokens, std::uint32_t last_attempt);

    chunk_result accept(token_chunk chunk);
    /// The attempt says that its answer ends before `end_offset`. Ignored for a superseded attempt.
    void finish(std::uint32_t attempt, std::uint64_t end_offset);

    /// The answer so far, from offset 0 without a gap.
    [[nodiscard]] const std::vector<std::string>& tokens() const { return m_tokens; }
    /// Whether the end is known and every token before it has arrived.
    [[nodiscard]] bool complete() const { return m_end && m_tokens.size() >= *m_end; }
    [[nodiscard]] std::uint32_t attempt() const { return m_attempt; }

private:
    std::uint32_t m_attempt = 0;
    std::vector<std::string> m_tokens;
    std::map<std::uint64_t, std::string> m_early;
    std::optional<std::uint64_t> m_end;
};

} // namespace siskinwharf::serving
