#include "connection_pool.h"

#include "connection.h"

#include <netinet/tcp.h>

namespace siskinwharf::http {

namespace {

using tcp = asio::ip::tcp;

/// Kept idle connections for each address.
constexpr std::size_t kept_connections = 64;

/// A connection that is readable before its request was closed by the other side, or carries bytes that
/// nobody asked for.
bool is_silent(tcp::socket& socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

bool is_usable(pooled_connection& candidate)
{
    if (candidate.buffer.size() != 0 || std::chrono::steady_clock::now() >= candidate.usable_until)
        return false;
    return is_silent(candidate.stream.socket());
}

/// A connection whose other side is cut off, or that goes silent for good, fails within about three seconds.
/// Without this a call that waits for changes would hang for its whole time while the list of endpoints grows
/// old.
void detect_silence(tcp::socket& socket)
{
    using keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_idle(connection_pool::silent_seconds_before_probe), ignored);
    socket.set_option(keep_interval(connection_pool::seconds_between_probes), ignored);
    socket.set_option(keep_count(connection_pool::lost_probes), ignored);
    socket.set_option(user_timeout(static_cast<int>(connection_pool::longest_unacknowledged.count())),
                      ignored);
}

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor) : m_executor(std::move(executor)) {}

asio::awaitable<connection_pointer> connection_pool::connect(address target, bool may_reuse,
                                                             milliseconds timeout)
{
    auto& kept = m_kept[target];
    while (may_reuse && !kept.empty()) {
        auto candidate = std::move(kept.back());
        kept.pop_back();
        if (!is_usable(*candidate))
            continue;
        candidate->reused = true;
        co_return candidate;
    }
    auto fresh = std::make_unique<pooled_connection>(m_executor);
    fresh->stream.expires_after(timeout);
    boost::system::error_code parse_error;
    const auto ip = asio::ip::make_address(target.ip, parse_error);
    if (parse_error)
        throw call_error(call_stage::before_send, "invalid address " + target.ip);
    const tcp::endpoint endpoint(ip, target.port);
    if (const auto [error] = co_await fresh->stream.async_connect(endpoint, use_tuple); error)
        throw call_error(call_stage::before_send, "connect failed: " + error.message(),
                         error == beast::error::timeout);
    boost::system::error_code ignored;
    fresh->stream.socket().set_option(tcp::no_delay(true), ignored);
    detect_silence(fresh->stream.socket());
    ++m_opened;
    if (!is_silent(fresh->stream.socket()))
        throw call_error(call_stage::before_send, "the connection was readable before the request");
    co_return fresh;
}

void connection_pool::keep(const address& target, connection_pointer used, milliseconds lifetime)
{
    used->usable_until = std::chrono::steady_clock::now() + lifetime;
    used->stream.expires_never();
    // An idle connection keeps no memory for responses, unless bytes that nobody asked for are in it: these
    // stay, so that it is not used again.
    used->buffer.shrink_to_fit();
    auto& kept = m_kept[target];
    if (kept.size() < kept_connections)
        kept.push_back(std::move(used));
    if (const auto now = std::chrono::steady_clock::now(); now - m_swept >= sweep_interval)
        drop_unusable(now);
}

void connection_pool::drop_unusable(monotonic_time now)
{
    m_swept = now;
    for (auto& [target, kept] : m_kept)
        std::erase_if(kept, [](const connection_pointer& candidate) { return !is_usable(*candidate); });
    std::erase_if(m_kept, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace siskinwharf::http
