#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "siskinwharf/peer/messages.h"

namespace siskinwharf::peer {

/// The body of a frame is not a valid message.
class wire_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Appends the message in Thrift compact encoding, without its number.
void append_body(std::string& output, const message& value);

/// Parses a message with this number, which is its position in `message`. Throws `wire_error`.
[[nodiscard]] message parse_body(std::size_t number, std::string_view body);

} // namespace siskinwharf::peer
