#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// Called after a connection broke while an endpoint ran a request. Checks whether the endpoint process
/// crashed by connecting to it again, and if so records the crash for the request content in the quarantine.
boost::asio::awaitable<void> check_for_crash(boost::asio::any_io_executor executor, traffic_state& state,
                                             dispatch::endpoint_record endpoint,
                                             admission::content_key content);

} // namespace siskinwharf::forwarding
