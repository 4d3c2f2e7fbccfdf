#include "siskinwharf/peer/frame.h"

#include <limits>
#include <optional>
#include <stdexcept>
#include <type_traits>

#include "siskinwharf/base/digest.h"
#include "wire.h"

namespace siskinwharf::peer {

namespace {

constexpr std::size_t authentication_size = 32;
constexpr std::size_t sequence_size = 8;
constexpr std::uint8_t reply_flag = 0x80;
// Length, version, number, length of the sender's id, sequence and HMAC; the sender's id and the body are
// empty.
constexpr std::size_t smallest_frame = frame_length_size + 3 + sequence_size + authentication_size;

/// Number of `member_join`, the only message that need not name its recipient. Neither a reply nor any other
/// message has this byte.
constexpr std::uint8_t join_number = 3;
static_assert(std::is_same_v<std::variant_alternative_t<join_number, message>, member_join>);

void append_integer(std::string& output, std::uint64_t value, std::size_t size)
{
    for (std::size_t index = size; index > 0; --index)
        output.push_back(static_cast<char>((value >> (8 * (index - 1))) & 0xFFU));
}

std::uint64_t read_integer(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = (value << 8U) | static_cast<unsigned char>(byte);
    return value;
}

// Removes a prefix of the given size, or returns nothing if there are fewer bytes.
std::optional<std::string_view> take(std::string_view& bytes, std::size_t size)
{
    if (bytes.size() < size)
        return std::nullopt;
    const std::string_view prefix = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return prefix;
}

std::string authenticate(std::string_view key, std::string_view content, const instance_id& recipient)
{
    // The content starts with its own length, so that no bytes can move between it and the recipient's id.
    std::string input(content);
    input.append(recipient.value());
    return hmac_sha256(key, input);
}

decode_result parse_content(std::string_view content)
{
    const frame_error malformed = malformed_frame{};
    content.remove_prefix(frame_length_size + 1);
    const auto number = static_cast<std::uint8_t>(content.front());
    content.remove_prefix(1);
    const auto sender_size = static_cast<std::uint8_t>(content.front());
    content.remove_prefix(1);
    const auto sender = take(content, sender_size);
    const auto sequence = take(content, sequence_size);
    if (!sender || !sequence)
        return malformed;
    frame result;
    result.sender = instance_id(std::string(*sender));
    result.sequence = read_integer(*sequence);
    if ((number & reply_flag) != 0) {
        const auto in_reply_to = take(content, sequence_size);
        if (!in_reply_to)
            return malformed;
        result.in_reply_to = read_integer(*in_reply_to);
    }
    try {
        result.body = parse_body(number & static_cast<std::uint8_t>(~reply_flag), content);
    } catch (const wire_error&) {
        return malformed;
    }
    return result;
}

} // namespace

std::string_view to_string(const frame_error& error)
{
    struct visitor {
        std::string_view operator()(const frame_too_long&) const { return "too_long"; }
        std::string_view operator()(const wrong_version&) const { return "wrong_version"; }
        std::string_view operator()(const bad_authentication&) const { return "bad_authentication"; }
        std::string_view operator()(const malformed_frame&) const { return "malformed"; }
        std::string_view operator()(const replayed_frame&) const { return "replayed"; }
    };
    return std::visit(visitor{}, error);
}

encode_result encode(const frame& value, std::string_view key, const instance_id& recipient,
                     std::size_t limit)
{
    static_assert(std::variant_size_v<message> < reply_flag);
    const std::string& sender = value.sender.value();
    if (sender.size() > std::numeric_limits<std::uint8_t>::max())
        throw std::invalid_argument("the sender's id is longer than 255 bytes");
    auto number = static_cast<std::uint8_t>(value.body.index());
    if (value.in_reply_to != 0)
        number |= reply_flag;
    std::string output(frame_length_size, '\0');
    output.push_back(static_cast<char>(frame_version));
    output.push_back(static_cast<char>(number));
    output.push_back(static_cast<char>(sender.size()));
    output.append(sender);
    append_integer(output, value.sequence, sequence_size);
    if (value.in_reply_to != 0)
        append_integer(output, value.in_reply_to, sequence_size);
    append_body(output, value.body);
    const std::size_t size = output.size() + authentication_size;
    if (size > limit)
        return frame_too_long{size, limit};
    std::string length;
    append_integer(length, size - frame_length_size, frame_length_size);
    output.replace(0, frame_length_size, length);
    output.append(authenticate(key, output, recipient));
    return output;
}

decode_result decode(std::string_view bytes, std::string_view key, const instance_id& recipient,
                     std::size_t limit)
{
    if (bytes.size() > limit)
        return frame_error(frame_too_long{bytes.size(), limit});
    if (bytes.size() <= frame_length_size)
        return frame_error(malformed_frame{});
    // The version comes before the length check, because another version may have another smallest frame.
    if (const auto version = static_cast<std::uint8_t>(bytes[frame_length_size]); version != frame_version)
        return frame_error(wrong_version{version});
    if (bytes.size() < smallest_frame ||
        read_integer(bytes.substr(0, frame_length_size)) != bytes.size() - frame_length_size)
        return frame_error(malformed_frame{});
    const std::string_view content = bytes.substr(0, bytes.size() - authentication_size);
    const std::string_view found = bytes.substr(content.size());
    if (equal_constant_time(authenticate(key, content, recipient), found))
        return parse_content(content);
    const bool is_join = static_cast<std::uint8_t>(content[frame_length_size + 1]) == join_number;
    if (is_join && equal_constant_time(authenticate(key, content, {}), found))
        return parse_content(content);
    return frame_error(bad_authentication{});
}

} // namespace siskinwharf::peer
