#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/forwarding/stream_origin_source.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// How the software version of a stream became known.
enum class origin_evidence {
    none,
    stream,  ///< This process or a peer passed the stream's first event on.
    history, ///< No other version has been in service.
};

[[nodiscard]] std::string_view to_string(origin_evidence evidence);

/// What a lookup of a stream's software version found.
struct origin_result {
    std::optional<software_version> software; ///< Missing if it is not known.
    service_id service;                       ///< That began the stream. Valid if `software` is known.
    origin_evidence evidence = origin_evidence::none;
    milliseconds waited{0};

    auto operator<=>(const origin_result&) const = default;
};

/// Finds the software version that began a stream which a caller takes up. The own view may be old: that only
/// one version may have begun the stream follows from a read of the store that begins after the request
/// arrived, and from nothing else. If several may, peers are asked; a peer that does not answer says nothing.
class stream_origin_lookup {
public:
    stream_origin_lookup(boost::asio::any_io_executor executor, traffic_state& state,
                         stream_origin_source& source)
        : m_executor(std::move(executor)), m_state(state), m_source(source)
    {
    }

    /// `stream` is the number of the stream, if the caller names the attempt that brought its first event.
    /// Takes at most `limit`.
    boost::asio::awaitable<origin_result> find(std::optional<std::uint64_t> stream, service_id service,
                                               milliseconds limit);

private:
    struct version_read {
        bool has_ended = false;
        bool is_complete = false;
    };
    /// Begins to read the recorded versions, if they can tell.
    [[nodiscard]] std::shared_ptr<version_read> begin_read(const service_id& service, monotonic_time now);
    [[nodiscard]] origin_result known(std::optional<std::uint64_t> stream, const service_id& service,
                                      const version_read& read, monotonic_time now) const;

    boost::asio::any_io_executor m_executor;
    traffic_state& m_state;
    stream_origin_source& m_source;
};

} // namespace siskinwharf::forwarding
