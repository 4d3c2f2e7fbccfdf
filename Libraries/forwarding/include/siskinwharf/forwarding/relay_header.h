#pragma once

#include <string_view>

namespace siskinwharf::forwarding {

/// Header of the response to a peer whose request was not passed on, and did not run: this process reaches no
/// endpoint either, or takes no more requests of peers.
inline constexpr std::string_view relay_refused_header = "Relay-Refused";

} // namespace siskinwharf::forwarding
