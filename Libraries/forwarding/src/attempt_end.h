#pragma once

#include <string_view>

namespace siskinwharf::forwarding {

/// Result of one attempt to forward a request to an endpoint.
enum class attempt_end {
    delivered,   ///< The caller received the whole response.
    aborted,     ///< The caller received part of a response that will not be completed.
    not_run,     ///< The endpoint reported that it did not run the request.
    not_sent,    ///< No connection could be opened.
    failed,      ///< The endpoint may have run the request.
    timed_out,   ///< The request timed out; the endpoint may have run it.
    given_up,    ///< This process ended it because the endpoint was silent; the endpoint may have run it.
    caller_gone, ///< The caller disconnected.
};

[[nodiscard]] std::string_view to_string(attempt_end end);

} // namespace siskinwharf::forwarding
