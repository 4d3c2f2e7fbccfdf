#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>

namespace siskinwharf::forwarding {

/// Where a process finds out which software version began a stream that a caller takes up and that it does
/// not know. What it finds goes to its `traffic_state`.
class stream_origin_source {
public:
    stream_origin_source() = default;
    stream_origin_source(const stream_origin_source&) = delete;
    stream_origin_source& operator=(const stream_origin_source&) = delete;
    stream_origin_source(stream_origin_source&&) = delete;
    stream_origin_source& operator=(stream_origin_source&&) = delete;
    virtual ~stream_origin_source() = default;

    /// Reads the recorded software versions, in a call to the store that begins now. Returns whether they are
    /// all that may have begun a stream; not if the store does not answer.
    virtual boost::asio::awaitable<bool> read_versions() = 0;
    /// Asks peers for the version that began a stream, named by its number. A peer that does not know it does
    /// not answer.
    virtual void ask_peers(std::uint64_t stream) = 0;
};

} // namespace siskinwharf::forwarding
