#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <variant>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/routing/routing_snapshot.h"

namespace siskinwharf::routing {

/// An endpoint whose instance is about to be reclaimed.
struct leaving_endpoint {
    endpoint_id id;
    region_id region;
    target serves;
    nanoseconds time_left{0};            ///< Until the instance stops.
    double export_bytes_per_second = 0;  ///< Shared by all its KV exports. 0 if it cannot export.
    double decode_tokens_per_second = 0; ///< Of one stream.

    auto operator<=>(const leaving_endpoint&) const = default;
};

/// How much of a stream's prompt an endpoint holds in its prefix cache.
struct cached_prefix {
    endpoint_id endpoint;
    std::uint32_t tokens = 0;

    auto operator<=>(const cached_prefix&) const = default;
};

/// A stream on a leaving endpoint.
struct reclaimed_stream {
    request_id request;
    endpoint_id endpoint;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t produced_tokens = 0;
    std::uint32_t remaining_tokens = 0; ///< Estimated output tokens still to come.
    std::uint64_t kv_bytes = 0;         ///< Size of its KV cache.
    nanoseconds time_to_deadline{0};
    std::vector<cached_prefix> cached; ///< Endpoints that have a prefix of the prompt cached.

    bool operator==(const reclaimed_stream&) const = default;
};

/// An endpoint that can take over streams.
struct reclaim_target {
    endpoint_id id;
    region_id region;
    target serves;
    /// Streams that this entry process may place there. Several entry processes that plan at the same time
    /// divide the endpoint's free slots among themselves first.
    std::uint32_t free_streams = 0;
    bool imports_kv = false; ///< Whether it can import an exported KV cache.
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0; ///< Of one stream.

    auto operator<=>(const reclaim_target&) const = default;
};

/// Settings of a deployment for reclaim plans.
struct reclaim_options {
    double microcents_per_recomputed_token = 0;  ///< Weight of recomputation against transfer prices.
    double region_link_bytes_per_second = 125e6; ///< Of the link between any two regions.
    std::uint32_t bytes_per_token = 4;           ///< Of text sent to continue a stream from its tokens.
};

/// Input of `plan_reclaim`.
struct reclaim_snapshot {
    std::vector<leaving_endpoint> leaving;
    std::vector<reclaimed_stream> streams;
    std::vector<reclaim_target> targets; ///< None of them leaving.
    egress_prices egress;
};

/// Let the stream finish where it runs, before its instance stops.
struct finish_here {
    auto operator<=>(const finish_here&) const = default;
};

/// Export the KV cache and import it at the target. Exports of an endpoint run one after another.
struct move_cache {
    endpoint_id to;
    nanoseconds export_start{0}; ///< From now.

    auto operator<=>(const move_cache&) const = default;
};

/// Start at the target with the prompt and the tokens produced so far.
struct continue_elsewhere {
    endpoint_id to;

    auto operator<=>(const continue_elsewhere&) const = default;
};

/// Wait, because no target has a free slot. The entry process keeps the stream's record and plans again
/// later.
struct wait_for_capacity {
    auto operator<=>(const wait_for_capacity&) const = default;
};

/// The possible actions for a stream of a leaving endpoint.
using reclaim_action = std::variant<finish_here, move_cache, continue_elsewhere, wait_for_capacity>;

/// Planned action for one stream and its expected cost.
struct stream_plan {
    reclaim_action action;
    std::uint64_t recomputed_tokens = 0;
    double microcents = 0;       ///< Price of data sent between regions.
    nanoseconds expected_end{0}; ///< From now.
    bool meets_deadline = false;

    bool operator==(const stream_plan&) const = default;
};

/// One plan per stream, in the order of `reclaim_snapshot::streams`, and totals over all of them.
struct reclaim_plan {
    std::vector<stream_plan> streams;
    std::uint64_t recomputed_tokens = 0;
    double microcents = 0;
    std::size_t late = 0;    ///< Streams that do not wait but miss their deadline.
    std::size_t waiting = 0; ///< Streams for which no target has a free slot.

    bool operator==(const reclaim_plan&) const = default;
};

/// Thrown when a stream refers to an endpoint that is not in `reclaim_snapshot::leaving`.
class unknown_leaving_endpoint : public std::invalid_argument {
public:
    explicit unknown_leaving_endpoint(endpoint_id id);
    [[nodiscard]] const endpoint_id& endpoint() const { return m_endpoint; }

private:
    endpoint_id m_endpoint;
};

/// Plans an action for each stream of the leaving endpoints. Among the options that meet the stream's
/// deadline, the one with the lowest weight x recomputed tokens + transfer price is chosen; if none meets it,
/// the one that ends first. Streams are placed greedily, in descending order of the tokens that would be
/// recomputed without a move, so that the most expensive ones get the export bandwidth and the free slots.
/// The endpoints with the most free slots of each region and those with a cached prefix are considered. If
/// every stream has a slot, descending order of recomputed tokens per KV byte is tried as well, and the
/// cheaper plan is returned unless it makes more streams late. Pure function. Throws
/// `unknown_leaving_endpoint`.
[[nodiscard]] reclaim_plan plan_reclaim(const reclaim_snapshot& snapshot, const reclaim_options& options);

/// Number of tokens that are recomputed if every stream restarts from scratch: its prompt and its output so
/// far.
[[nodiscard]] std::uint64_t restart_tokens(const reclaim_snapshot& snapshot);

} // namespace siskinwharf::routing
