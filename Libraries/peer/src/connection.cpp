#include "connection.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

namespace siskinwharf::peer {

namespace asio = boost::asio;

namespace {

// Memory for a frame grows in these steps while its bytes arrive, so that a length field alone costs nothing.
constexpr std::size_t read_step = 64UL * 1024;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

io_status status_of(const boost::system::error_code& error)
{
    if (!error)
        return io_status::success;
    return error == boost::beast::error::timeout ? io_status::timed_out : io_status::closed;
}

// Memory of an incoming frame, reserved while it is read and decoded.
class reservation {
public:
    reservation(transport_state& state, std::size_t bytes)
        : m_state(state), m_bytes(bytes), m_granted(state.reserve(bytes))
    {
    }
    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;
    reservation(reservation&&) = delete;
    reservation& operator=(reservation&&) = delete;
    ~reservation()
    {
        if (m_granted)
            m_state.release(m_bytes);
    }

    [[nodiscard]] bool granted() const { return m_granted; }

private:
    transport_state& m_state;
    std::size_t m_bytes;
    bool m_granted;
};

} // namespace

connection::connection(asio::any_io_executor executor, std::shared_ptr<transport_state> state)
    : m_stream(std::move(executor)), m_state(std::move(state))
{
}

connection::connection(asio::ip::tcp::socket socket, std::shared_ptr<transport_state> state)
    : m_stream(std::move(socket)), m_state(std::move(state))
{
}

asio::awaitable<io_status> connection::connect(asio::ip::tcp::endpoint remote, monotonic_time deadline)
{
    m_stream.expires_at(deadline);
    const auto [error] = co_await m_stream.async_connect(remote, use_tuple);
    if (error) {
        ++m_state->counters().connections_failed;
        co_return status_of(error);
    }
    ++m_state->counters().connections_opened;
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return io_status::success;
}

asio::awaitable<io_status> connection::write(const std::string& bytes, monotonic_time deadline)
{
    m_stream.expires_at(deadline);
    const auto [error, size] = co_await asio::async_write(m_stream, asio::buffer(bytes), use_tuple);
    m_state->counters().stream_bytes_sent += size;
    co_return status_of(error);
}

asio::awaitable<io_status> connection::read_bytes(std::string& bytes, std::size_t size)
{
    while (size > 0) {
        const std::size_t step = std::min(size, read_step);
        const std::size_t offset = bytes.size();
        bytes.resize(offset + step);
        const auto [error, read] =
            co_await asio::async_read(m_stream, asio::buffer(&bytes[offset], step), use_tuple);
        m_state->counters().stream_bytes_received += read;
        if (error)
            co_return status_of(error);
        size -= step;
    }
    co_return io_status::success;
}

asio::awaitable<connection::received> connection::read(monotonic_time deadline)
{
    received result;
    std::string bytes;
    m_stream.expires_at(deadline);
    result.status = co_await read_bytes(bytes, frame_length_size);
    if (result.status != io_status::success)
        co_return result;
    std::size_t size = 0;
    for (const char byte : bytes)
        size = (size << 8U) | static_cast<unsigned char>(byte);
    boost::system::error_code unconnected;
    const auto remote = m_stream.socket().remote_endpoint(unconnected);
    const std::string from = unconnected ? std::string() : remote.address().to_string();
    if (const std::size_t total = size + frame_length_size; total > stream_frame_limit) {
        result.content = frame_error(frame_too_long{total, stream_frame_limit});
        m_state->reject(std::get<frame_error>(result.content), from);
        co_return result;
    }
    const reservation memory(*m_state, size);
    if (!memory.granted()) {
        ++m_state->counters().connections_refused;
        result.status = io_status::closed;
        co_return result;
    }
    m_stream.expires_after(m_state->options().frame_timeout);
    result.status = co_await read_bytes(bytes, size);
    if (result.status == io_status::success)
        result.content = m_state->open(bytes, stream_frame_limit, from);
    co_return result;
}

void connection::close()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace siskinwharf::peer
