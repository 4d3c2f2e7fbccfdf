#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// The request as Beast sends it, on a connection that is kept. `Host` is the target's address unless the
/// request names one.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> to_beast(const address& target,
                                                                                    request&& message);

} // namespace siskinwharf::http
