#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include "connection.h"
#include "connection_pool.h"
#include "siskinwharf/http/error.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// Throws `call_error` if the status is not one of a final response, 200 to 599. Others are no answer to a
/// request that asks for no interim response, and a caller could not tell what they promise.
void check_status(unsigned status);

/// Throws `call_error` if a field's name in the head, which ends with an empty line, is malformed. A line
/// that begins with a blank is one: parsers take it for a part of the line before.
void check_field_names(std::string_view head);

/// Reads until the whole head is in the buffer, and returns its size. Throws `call_error`.
asio::awaitable<std::size_t> read_head_bytes(pooled_connection& used);

/// Reads the head of the response to a request that was sent. Throws `call_error` if none arrives, or one
/// that is not sound.
template<typename Parser>
asio::awaitable<void> read_response_head(pooled_connection& used, Parser& parser)
{
    const auto head_size = co_await read_head_bytes(used);
    check_field_names({static_cast<const char*>(used.buffer.cdata().data()), head_size});
    const auto [error, size] =
        co_await beast::http::async_read_header(used.stream, used.buffer, parser, use_tuple);
    if (error)
        throw call_error(call_stage::after_send, "no response: " + error.message(),
                         error == beast::error::timeout);
    check_status(parser.get().result_int());
}

/// The fields of a head. To be taken before the body is read, as the parser adds those behind a body in
/// chunks.
template<typename Header>
std::vector<header_field> to_fields(const Header& header)
{
    std::vector<header_field> result;
    for (const auto& field : header)
        result.push_back({std::string(field.name_string()), std::string(field.value())});
    return result;
}

} // namespace siskinwharf::http
