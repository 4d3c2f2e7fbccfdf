#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::settings {

/// A literal IP address and a port. Names are not resolved: processes address each other by IP address.
struct socket_address {
    std::string ip; ///< IPv4 or IPv6, without brackets.
    std::uint16_t port = 0;

    auto operator<=>(const socket_address&) const = default;
};

/// Reads `10.0.0.1:8080` or `[fd00::1]:8080`; `std::nullopt` for anything else, and for port 0.
[[nodiscard]] std::optional<socket_address> parse_socket_address(std::string_view text);

/// The inverse of `parse_socket_address`.
[[nodiscard]] std::string to_string(const socket_address& address);

} // namespace siskinwharf::settings
