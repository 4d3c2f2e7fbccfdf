#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "siskinwharf/dispatch/software_history.h"

namespace siskinwharf::dispatch {

/// A stream and the software version that began it.
struct stream_origin {
    std::uint64_t stream = 0; ///< As `stream_number` says.
    service_id service;
    software_version software;

    auto operator<=>(const stream_origin&) const = default;
};

/// Number by which processes name the stream whose first event this attempt of a client account brought. The
/// account is empty if the deployment has none.
[[nodiscard]] std::uint64_t stream_number(const account_id& account, const request_id& attempt);

/// Which software version began each stream of the last time, here or at a peer, so that a stream can be
/// taken up anywhere although its process is lost. While several versions are or were in service, all peers
/// are told of own streams; at other times few are, for a process that stands still or is lost when another
/// version joins. A process that was not reached asks its peers. Performs no I/O.
class stream_origins {
public:
    /// Records that a stream began here. If another one began under its number, neither is known any more.
    void begin(const stream_origin& origin, monotonic_time now);
    /// Records what a peer tells.
    void merge(const std::vector<stream_origin>& told, monotonic_time now);
    /// What began the stream with this number, or nothing if it is not known.
    [[nodiscard]] std::optional<stream_origin> find(std::uint64_t stream) const;
    /// Whether several streams began under this number.
    [[nodiscard]] bool is_ambiguous(std::uint64_t stream) const;
    /// What to tell a peer that asks for streams by their numbers: what is known of each, and both origins of
    /// a number under which several streams began.
    [[nodiscard]] std::vector<stream_origin> find(const std::vector<std::uint64_t>& streams) const;
    /// Own streams that all peers are to be told of, of services with several versions. Each is returned
    /// `repetitions` times, because a datagram may be lost.
    [[nodiscard]] std::vector<stream_origin> take_news(const software_history& history, monotonic_time now);
    /// As above, of services with one version: own streams of which few peers keep copies.
    [[nodiscard]] std::vector<stream_origin> take_copies(const software_history& history, monotonic_time now);
    /// Drops the streams that began so long ago that they are not taken up any more.
    void expire(const software_history& history, monotonic_time now);

private:
    static constexpr int repetitions = 2;
    /// Maximum number of streams that are kept. The oldest are dropped first.
    static constexpr std::size_t maximum_streams = 100'000;

    struct begun_stream {
        stream_origin origin;
        monotonic_time begun{};
        int untold = 0;   ///< Times that all peers are still to be told.
        int uncopied = 0; ///< Times that the peers with copies are still to be told.
    };

    void add(const stream_origin& origin, int untold, monotonic_time now);
    void drop_oldest();
    /// Own streams for which `left` is above 0, which it decreases, of services for which `is_mixed` holds.
    [[nodiscard]] std::vector<stream_origin> take(int begun_stream::*left, bool is_mixed,
                                                  const software_history& history, monotonic_time now);

    std::deque<begun_stream> m_streams; ///< In the order in which they began or were told.
    std::unordered_map<std::uint64_t, stream_origin> m_origins;
    /// A second origin, for the numbers under which several streams began.
    std::unordered_map<std::uint64_t, stream_origin> m_other_origins;
};

} // namespace siskinwharf::dispatch
