#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/dispatch/stream_origins.h"

namespace siskinwharf::exchange {

/// Streams that began at the sender, and the software versions that began them.
struct stream_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<dispatch::stream_origin> streams;

    bool operator==(const stream_update&) const = default;
};

/// Streams of which the sender wants to know the software version that began them. A peer that knows some of
/// them answers with a `stream_update`; one that knows none does not answer.
struct stream_query {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<std::uint64_t> streams; ///< As in `dispatch::stream_origin`.
    std::uint16_t port = 0;             ///< Of the sender.

    bool operator==(const stream_query&) const = default;
};

/// Maximum number of streams in a `stream_update` or `stream_query`, so that it fits into a packet.
inline constexpr std::size_t maximum_streams_per_message = 80;

/// Splits streams into messages that each fit into a packet.
[[nodiscard]] std::vector<stream_update> stream_updates(const instance_id& process, std::uint64_t start,
                                                        const std::vector<dispatch::stream_origin>& streams);

/// As above. The messages lack the port.
[[nodiscard]] std::vector<stream_query> stream_queries(const instance_id& process, std::uint64_t start,
                                                       const std::vector<std::uint64_t>& streams);

[[nodiscard]] std::string encode(const stream_update& update);
[[nodiscard]] std::string encode(const stream_query& query);

} // namespace siskinwharf::exchange
