#pragma once

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/core/tcp_stream.hpp>

#include "siskinwharf/base/time.h"

namespace siskinwharf::http {

/// What a connection is in: the wait for a request, a request from its first byte to its answer, or its end.
enum class caller_connection_state { waiting, in_request, ending };

[[nodiscard]] constexpr std::string_view to_string(caller_connection_state state)
{
    switch (state) {
    case caller_connection_state::waiting:
        return "waiting";
    case caller_connection_state::in_request:
        return "in_request";
    case caller_connection_state::ending:
        return "ending";
    }
    return "unknown";
}

/// State of one accepted connection, shared by the coroutine that serves it and the server that may close it.
class caller_connection {
public:
    /// `waiting_requests` counts the requests of all connections that were read and wait for the one before
    /// them.
    caller_connection(boost::beast::tcp_stream& stream, std::atomic<std::size_t>& waiting_requests)
        : m_stream(stream), m_waiting_requests(waiting_requests)
    {
    }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() { m_waiting_requests -= m_requests_ahead; }

    /// The connection waits for a request for at most `time`. `told` is the time for which the caller was
    /// told that it may send one; a caller that was told nothing may do so as long as the connection waits.
    void begin_wait(monotonic_time now, milliseconds time, std::optional<milliseconds> told)
    {
        m_state = caller_connection_state::waiting;
        m_waiting_since = now;
        m_waits_until = now + time;
        m_told_until.reset();
        if (told)
            m_told_until = now + *told;
    }

    /// Bytes of a request have arrived.
    void end_wait() { m_state = caller_connection_state::in_request; }

    /// This process has ended its side of the connection.
    void begin_end() { m_state = caller_connection_state::ending; }

    /// Keeps a connection that waits open for at least `time` from the start of its wait.
    void extend_wait(milliseconds time) { m_waits_until = std::max(m_waits_until, m_waiting_since + time); }

    /// Ends a wait. Bytes that have arrived meanwhile are still read.
    void stop_waiting(monotonic_time now)
    {
        if (m_state != caller_connection_state::waiting)
            return;
        m_waits_until = now;
        m_stream.cancel();
    }

    /// Whether the caller may still send a request.
    [[nodiscard]] bool is_usable(monotonic_time now) const
    {
        return now < m_told_until.value_or(m_waits_until);
    }
    /// A request of `size` bytes was read, and `bytes_ahead` bytes behind it with `requests_ahead` whole
    /// requests.
    void take_request(std::size_t size, std::size_t bytes_ahead, std::size_t requests_ahead)
    {
        m_bytes_ahead = bytes_ahead;
        m_waiting_requests += requests_ahead;
        m_waiting_requests -= std::exchange(m_requests_ahead, requests_ahead);
        if (m_bytes_left)
            *m_bytes_left -= std::min(*m_bytes_left, size);
    }

    /// Bytes that were read behind the present request, and whole requests in them.
    [[nodiscard]] std::size_t bytes_ahead() const { return m_bytes_ahead; }
    [[nodiscard]] std::size_t requests_ahead() const { return m_requests_ahead; }

    /// The connection ends as soon as what was read on it has been answered.
    void end_after_requests() { m_is_to_end = true; }
    [[nodiscard]] bool is_to_end() const { return m_is_to_end; }

    /// Whether a connection that is to end has further requests to answer: those that were read, and those
    /// that began to arrive before the first call. Without this limit a caller that always sends its next
    /// request before the last answer would never see the end. `bytes_in_tls` may hold further requests.
    [[nodiscard]] bool has_requests_left(std::size_t bytes_in_tls)
    {
        const auto arrived = m_bytes_ahead + bytes_in_tls + unread_bytes();
        m_bytes_left = std::min(m_bytes_left.value_or(arrived), arrived);
        return m_requests_ahead > 0 || *m_bytes_left > 0;
    }

    [[nodiscard]] monotonic_time waiting_since() const { return m_waiting_since; }
    [[nodiscard]] monotonic_time waits_until() const { return m_waits_until; }
    [[nodiscard]] caller_connection_state state() const { return m_state; }

    /// Address and port of the caller; empty if the connection has failed.
    [[nodiscard]] std::string caller() const
    {
        boost::system::error_code error;
        const auto endpoint = m_stream.socket().remote_endpoint(error);
        return error ? "" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    /// Bytes that the system holds for this process to read.
    [[nodiscard]] std::size_t unread_bytes() const
    {
        boost::system::error_code error;
        const auto size = m_stream.socket().available(error);
        return error ? 0 : size;
    }

private:
    boost::beast::tcp_stream& m_stream;
    std::atomic<std::size_t>& m_waiting_requests;
    std::size_t m_bytes_ahead = 0;
    std::size_t m_requests_ahead = 0;
    std::optional<std::size_t> m_bytes_left; ///< Of what had arrived when the connection was to end.
    bool m_is_to_end = false;
    caller_connection_state m_state = caller_connection_state::in_request;
    monotonic_time m_waiting_since{};
    monotonic_time m_waits_until{};
    std::optional<monotonic_time> m_told_until;
};

} // namespace siskinwharf::http
