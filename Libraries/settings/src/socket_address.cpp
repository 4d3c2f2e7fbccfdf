#include "siskinwharf/settings/socket_address.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <fmt/format.h>

namespace siskinwharf::settings {

namespace {

bool is_ip(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

} // namespace

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    // inet_pton stops at a null character.
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return std::nullopt;
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (error != std::errc{} || end != port_text.data() + port_text.size() || port_text.front() == '0')
        return std::nullopt;

    std::string_view host = text.substr(0, colon);
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed)
        host = host.substr(1, host.size() - 2);
    std::string ip(host);
    if (!is_ip(is_bracketed ? AF_INET6 : AF_INET, ip))
        return std::nullopt;
    return socket_address{.ip = std::move(ip), .port = port};
}

std::string to_string(const socket_address& address)
{
    const bool is_ipv6 = address.ip.find(':') != std::string::npos;
    return is_ipv6 ? fmt::format("[{}]:{}", address.ip, address.port)
                   : fmt::format("{}:{}", address.ip, address.port);
}

} // namespace siskinwharf::settings
