#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinwharf::standins {

/// Tokens of one block of the prefix cache.
inline constexpr std::size_t tokens_per_block = 16;

/// The whitespace-separated words of a prompt, which are its tokens.
[[nodiscard]] std::vector<std::string> split_tokens(std::string_view text);

/// Token `index` (from 0) of the answer to `prompt`. It depends on nothing else, so that a continuation from
/// the prompt and some produced tokens on another engine yields the same answer.
[[nodiscard]] std::string answer_token(std::string_view prompt, std::uint64_t index);

/// The first `count` tokens of the answer to `prompt`.
[[nodiscard]] std::vector<std::string> expected_answer(std::string_view prompt, std::uint64_t count);

/// Compares an answer with the expected one while it arrives.
class answer_check {
public:
    /// `count` is the number of tokens that were asked for.
    answer_check(std::string prompt, std::uint64_t count) : m_prompt(std::move(prompt)), m_count(count) {}

    /// Takes the next token. Returns false if it is wrong or beyond the end; later calls then return false
    /// too.
    bool accept(std::string_view token);
    /// True if every token has arrived and none was wrong.
    [[nodiscard]] bool complete() const { return !m_wrong && m_accepted == m_count; }
    /// Number of right tokens before the first wrong one.
    [[nodiscard]] std::uint64_t accepted() const { return m_accepted; }

private:
    std::string m_prompt;
    std::uint64_t m_count;
    std::uint64_t m_accepted = 0;
    bool m_wrong = false;
};

/// Hashes of the full blocks of a token sequence. Each covers all tokens before its end and the model, so
/// equal hashes mean equal prefixes.
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view model, std::string_view version,
                                                      const std::vector<std::string>& tokens);

} // namespace siskinwharf::standins
