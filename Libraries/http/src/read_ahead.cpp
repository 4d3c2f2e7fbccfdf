#include "read_ahead.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace siskinwharf::http {

namespace beast = boost::beast;

std::size_t count_requests(boost::asio::const_buffer bytes, const server_limits& limits)
{
    std::size_t count = 0;
    while (bytes.size() > 0) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        parser.eager(true);
        while (bytes.size() > 0 && !parser.is_done()) {
            beast::error_code error;
            bytes += parser.put(bytes, error);
            if (error == beast::http::error::need_more)
                return count;
            if (error)
                return count + 1;
        }
        if (!parser.is_done())
            return count;
        ++count;
    }
    return count;
}

} // namespace siskinwharf::http
