#pragma once

#include <cstddef>

namespace siskinwharf::exchange {

/// Maximum size in bytes of a datagram that is sent. A larger one would be fragmented, and lost with any
/// fragment.
inline constexpr std::size_t packet_size = 1'400;

} // namespace siskinwharf::exchange
