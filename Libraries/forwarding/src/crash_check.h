#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// A request that was running at an endpoint when its connection broke.
struct broken_request {
    request_id id;
    admission::content_key content;
    std::vector<dispatch::prompt_part> parts;
    std::uint64_t events = 0;   ///< Whole events of its response that had arrived.
    bool is_first_crash = true; ///< It has not been at an endpoint that broke before.
};

/// Called after a connection broke while an endpoint ran a request. Checks whether the endpoint process
/// crashed by connecting to it again, and if so records the crash for the request content in the quarantine.
/// The parts of its prompt are suspect too if it had no event yet. Each request counts once for them, because
/// only different requests show what they have in common.
boost::asio::awaitable<void> check_for_crash(boost::asio::any_io_executor executor, traffic_state& state,
                                             dispatch::endpoint_record endpoint, broken_request request);

} // namespace siskinwharf::forwarding
