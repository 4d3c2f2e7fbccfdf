#pragma once

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// The request as Beast sends it, on a connection that is kept. `Host` is the target's address unless the
/// request names one.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> to_beast(const address& target,
                                                                                    request&& message);

/// Like `to_beast`, with a body that stays with its owner and must outlive the result.
[[nodiscard]] boost::beast::http::request<boost::beast::http::span_body<const char>>
to_beast_with_body(const address& target, const request& message, const std::string& body);

} // namespace siskinwharf::http
