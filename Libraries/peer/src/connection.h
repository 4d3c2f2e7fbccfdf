#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "siskinwharf/base/time.h"
#include "transport_state.h"

namespace siskinwharf::peer {

enum class io_status { success, timed_out, closed };

/// A TCP connection that carries frames. All functions run on the executor of its socket.
class connection {
public:
    connection(boost::asio::any_io_executor executor, std::shared_ptr<transport_state> state);
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<transport_state> state);

    [[nodiscard]] boost::asio::any_io_executor executor() { return m_stream.get_executor(); }

    /// Connects before the deadline.
    [[nodiscard]] boost::asio::awaitable<io_status> connect(boost::asio::ip::tcp::endpoint remote,
                                                            monotonic_time deadline);

    /// Writes one encoded frame before the deadline.
    [[nodiscard]] boost::asio::awaitable<io_status> write(const std::string& bytes, monotonic_time deadline);

    /// What `read` returns: either an error or the frame, whose checks can still have failed.
    struct received {
        io_status status = io_status::closed;
        decode_result content = frame_error(malformed_frame{});
    };

    /// Reads one frame, which must begin before the deadline and be complete by the frame timeout after that.
    [[nodiscard]] boost::asio::awaitable<received> read(monotonic_time deadline);

    void close();

private:
    [[nodiscard]] boost::asio::awaitable<io_status> read_bytes(std::string& bytes, std::size_t size);

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<transport_state> m_state;
};

} // namespace siskinwharf::peer
