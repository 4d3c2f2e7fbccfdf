#pragma once

#include <cstdint>
#include <string>
#include <string_view>
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

/// Hashes of the full blocks of a token sequence. Each covers all tokens before its end and the model, so
/// equal hashes mean equal prefixes.
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view model, std::string_view version,
                                                      const std::vector<std::string>& tokens);

} // namespace siskinwharf::standins
