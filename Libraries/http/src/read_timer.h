#pragma once

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "siskinwharf/base/time.h"

namespace siskinwharf::http {

/// Cancels the reads of a stream after a time. The expiry of `tcp_stream` closes the socket instead, after
/// which the caller could not be told why.
class read_timer {
public:
    read_timer(boost::beast::tcp_stream& stream, milliseconds timeout)
        : m_timer(stream.get_executor(), timeout), m_state(std::make_shared<state>(state{&stream}))
    {
        m_timer.async_wait([shared = m_state](const boost::system::error_code& error) {
            if (error || shared->stream == nullptr)
                return;
            shared->expired = true;
            shared->stream->cancel();
        });
    }
    read_timer(const read_timer&) = delete;
    read_timer& operator=(const read_timer&) = delete;
    read_timer(read_timer&&) = delete;
    read_timer& operator=(read_timer&&) = delete;
    ~read_timer() { m_state->stream = nullptr; }

    [[nodiscard]] bool expired() const { return m_state->expired; }

private:
    struct state {
        boost::beast::tcp_stream* stream;
        bool expired = false;
    };

    boost::asio::steady_timer m_timer;
    std::shared_ptr<state> m_state;
};

} // namespace siskinwharf::http
