#include "response_head.h"

#include <algorithm>

#include <fmt/format.h>

namespace siskinwharf::http {

namespace {

constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
/// Longest head of a response.
constexpr std::size_t maximum_head_bytes = 8U << 10U;

/// Whether the byte may stand in the name of a field (a token of RFC 9110).
bool is_token(char byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const bool is_alphanumeric =
        (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
    return is_alphanumeric || symbols.find(byte) != std::string_view::npos;
}

bool has_sound_name(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && colon > 0 &&
           std::ranges::all_of(line.substr(0, colon), is_token);
}

std::string_view bytes_of(const beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
}

} // namespace

void check_status(unsigned status)
{
    if (status < first_final_status || status > last_status)
        throw call_error(call_stage::after_send, fmt::format("no final status: {:03}", status));
}

void check_field_names(std::string_view head)
{
    // The first line is the status, the last one is empty.
    head.remove_prefix(head.find(line_end) + line_end.size());
    while (!head.starts_with(line_end)) {
        const auto end = head.find(line_end);
        if (!has_sound_name(head.substr(0, end)))
            throw call_error(call_stage::after_send, "a field of the response has a malformed name");
        head.remove_prefix(end + line_end.size());
    }
}

asio::awaitable<std::size_t> read_head_bytes(pooled_connection& used)
{
    std::size_t searched = 0;
    while (true) {
        const auto bytes = bytes_of(used.buffer);
        if (const auto end = bytes.find(head_end, searched); end != std::string_view::npos)
            co_return end + head_end.size();
        if (bytes.size() >= maximum_head_bytes)
            throw call_error(call_stage::after_send, "the head of the response is too long");
        // The end may be cut between two reads.
        searched = bytes.size() - std::min(bytes.size(), head_end.size() - 1);
        const auto space = used.buffer.prepare(std::min(first_read_bytes, maximum_head_bytes - bytes.size()));
        const auto [error, size] = co_await used.stream.async_read_some(space, use_tuple);
        if (error)
            throw call_error(call_stage::after_send, "no response: " + error.message(),
                             error == beast::error::timeout);
        used.buffer.commit(size);
    }
}

} // namespace siskinwharf::http
