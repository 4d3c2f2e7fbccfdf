#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::serving {

/// A chat completion request of the OpenAI interface, reduced to what the engines take.
struct chat_request {
    model_id model;
    std::string prompt; ///< The messages as one text, see `render_prompt`.
    std::uint32_t max_tokens = 0;
    bool streaming = false;

    auto operator<=>(const chat_request&) const = default;
};

/// The body is not a chat completion request. The message names the field.
class chat_request_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

inline constexpr std::uint32_t default_max_tokens = 256;
inline constexpr std::uint32_t max_tokens_limit = 32'768;

/// Reads the JSON body. Throws `chat_request_error`.
[[nodiscard]] chat_request parse_chat_request(std::string_view body);

/// Appends one message to a prompt: `role: content` and a newline.
void append_message(std::string& prompt, std::string_view role, std::string_view content);

/// Number of tokens of a text. Engines count words as tokens until a tokenizer is part of the endpoint
/// protocol.
[[nodiscard]] std::uint32_t count_tokens(std::string_view text);

/// One hash for each full block of tokens of a prompt, over everything from its start to the end of the
/// block.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt,
                                                       std::uint32_t tokens_per_block);

} // namespace siskinwharf::serving
