#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::serving {

/// A chat completion request of the OpenAI API, reduced to the fields that the engines support.
struct chat_request {
    model_id model;
    std::string prompt;           ///< All messages as one text, see `append_message`.
    std::uint32_t max_tokens = 0; ///< Longest answer, from 1 to `max_tokens_limit`.
    bool streaming = false;       ///< Whether the answer is sent as server-sent events.

    auto operator<=>(const chat_request&) const = default;
};

/// The body is not a valid chat completion request. The message names the offending field, if there is one.
class chat_request_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Value of `max_tokens` for a request without one.
inline constexpr std::uint32_t default_max_tokens = 256;
/// Largest accepted value of `max_tokens`.
inline constexpr std::uint32_t max_tokens_limit = 32'768;

/// Parses and validates a JSON body. Throws `chat_request_error`.
[[nodiscard]] chat_request parse_chat_request(std::string_view body);

/// Appends one message to a prompt, as `role: content` followed by a newline.
void append_message(std::string& prompt, std::string_view role, std::string_view content);

/// Returns the number of tokens in a text. Counts words, as the engines do, because the endpoint protocol
/// does not include a tokenizer yet.
[[nodiscard]] std::uint32_t count_tokens(std::string_view text);

/// Returns one hash for each full block of tokens of a prompt. Each hash covers the prompt from its start to
/// the end of the block.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt,
                                                       std::uint32_t tokens_per_block);

} // namespace siskinwharf::serving
