#pragma once

#include <cstddef>

#include <boost/asio/buffer.hpp>

#include "siskinwharf/http/server.h"

namespace siskinwharf::http {

/// Number of requests that lie in `bytes`, which were read behind another request. A request that is not
/// whole does not count. One that cannot be parsed counts, because it gets a refusal, and ends the count.
[[nodiscard]] std::size_t count_requests(boost::asio::const_buffer bytes, const server_limits& limits);

} // namespace siskinwharf::http
