#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "siskinwharf/http/refusal.h"

namespace siskinwharf::forwarding {

/// Header of the response to a peer whose request was not passed on, and did not run: this process reaches no
/// endpoint either, or takes no more requests of peers.
inline constexpr std::string_view relay_refused_header = "Relay-Refused";

/// The response to such a peer. `reason` is its message.
[[nodiscard]] inline http::response relay_refusal(std::string reason)
{
    auto response = http::to_response({http::refusal_type::no_endpoint, std::move(reason), outcome::not_run});
    response.headers.push_back({std::string(relay_refused_header), "1"});
    return response;
}

} // namespace siskinwharf::forwarding
