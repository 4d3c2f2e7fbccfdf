#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::peer {

/// Version of the frame layout. Message fields can be added without a new version.
inline constexpr std::uint8_t frame_version = 1;

/// Size limit of a datagram in bytes, so that none is fragmented on a path with the smallest IPv6 MTU, 1,280
/// B.
inline constexpr std::size_t datagram_limit = 1200;

/// Size limit of a frame over TCP in bytes: a record with a whole request body and answer fits.
inline constexpr std::size_t stream_frame_limit = 16UL * 1024 * 1024;

/// Size of the length field at the start of each frame, in bytes. It counts the bytes that follow it.
inline constexpr std::size_t frame_length_size = 4;

/// One message with its origin. Layout, integers in network order: length (4 bytes), version (1), message
/// number (1; the highest bit is set if `in_reply_to` is present), length of the sender's id (1), sender's
/// id, sequence (8), in_reply_to (8, optional), body (Thrift compact protocol), HMAC-SHA-256 (32) over all
/// bytes before it and the recipient's id, which is not sent. Binding the recipient refuses a frame that was
/// recorded on the way to another process. A `member_join` may be made for an empty id, because a starting
/// process may know only the address of a seed; recorded, it says no more than that its sender once started.
struct frame {
    instance_id sender;
    std::uint64_t sequence = 0;    ///< Unique for each frame of a sender; see `replay_guard`.
    std::uint64_t in_reply_to = 0; ///< Sequence of the request that this replies to, or 0.
    message body;

    auto operator<=>(const frame&) const = default;
};

/// The frame is longer than the limit of its transport. Sizes in bytes.
struct frame_too_long {
    std::size_t size = 0;
    std::size_t limit = 0;

    auto operator<=>(const frame_too_long&) const = default;
};

/// The frame has a layout that this process does not know.
struct wrong_version {
    std::uint8_t found = 0;

    auto operator<=>(const wrong_version&) const = default;
};

/// The frame was made with another key, for another recipient, or was changed on its way.
struct bad_authentication {
    auto operator<=>(const bad_authentication&) const = default;
};

/// The frame is too short, or its body is not a valid message.
struct malformed_frame {
    auto operator<=>(const malformed_frame&) const = default;
};

/// The frame was received before, or is older than the window of its sender.
struct replayed_frame {
    instance_id sender;
    std::uint64_t sequence = 0;

    auto operator<=>(const replayed_frame&) const = default;
};

using frame_error =
    std::variant<frame_too_long, wrong_version, bad_authentication, malformed_frame, replayed_frame>;
using encode_result = std::variant<std::string, frame_too_long>;
using decode_result = std::variant<frame, frame_error>;

/// Name of an error for logs: `too_long`, `wrong_version`, `bad_authentication`, `malformed` or `replayed`.
[[nodiscard]] std::string_view to_string(const frame_error& error);

/// Encodes a frame for one recipient under the shared key. `limit` is in bytes and includes the length field.
/// Throws `std::invalid_argument` if the sender's id is longer than 255 bytes.
[[nodiscard]] encode_result encode(const frame& value, std::string_view key, const instance_id& recipient,
                                   std::size_t limit);

/// Decodes one whole frame, including its length field. The body is parsed only after the frame is
/// authenticated. Does not detect replays; `replay_guard` does.
[[nodiscard]] decode_result decode(std::string_view bytes, std::string_view key, const instance_id& recipient,
                                   std::size_t limit);

} // namespace siskinwharf::peer
