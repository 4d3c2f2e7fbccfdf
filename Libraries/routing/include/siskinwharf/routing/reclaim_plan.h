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

/// An endpoint whose instance is about to go away.
struct leaving_endpoint {
    endpoint_id id;
    region_id region;
    target serves;
    nanoseconds time_left{0};            ///< Until the instance is gone.
    double export_bytes_per_second = 0;  ///< For all its KV exports together. 0 if it cannot export.
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
    std::uint32_t remaining_tokens = 0; ///< Estimate.
    std::uint64_t kv_bytes = 0;
    nanoseconds time_to_deadline{0};
    std::vector<cached_prefix> cached;

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
    bool imports_kv = false;
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0; ///< Of one stream.

    auto operator<=>(const reclaim_target&) const = default;
};

/// Constants of a deployment for reclaim plans.
struct reclaim_options {
    double microcents_per_recomputed_token = 0;  ///< The weight of recomputation against money.
    double region_link_bytes_per_second = 125e6; ///< Of the link between each two regions.
    std::uint32_t bytes_per_token = 4;           ///< Of text sent to continue a stream from its tokens.
};

/// Everything `plan_reclaim` looks at.
struct reclaim_situation {
    std::vector<leaving_endpoint> leaving;
    std::vector<reclaimed_stream> streams;
    std::vector<reclaim_target> targets; ///< None of them leaving.
    egress_prices egress;
};

/// The stream ends before its instance does.
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

/// No target has a free slot. The entry process keeps the record and plans again.
struct wait_for_capacity {
    auto operator<=>(const wait_for_capacity&) const = default;
};

using reclaim_action = std::variant<finish_here, move_cache, continue_elsewhere, wait_for_capacity>;

/// What to do with one stream.
struct stream_plan {
    reclaim_action action;
    std::uint64_t recomputed_tokens = 0;
    double microcents = 0;       ///< For volume between regions.
    nanoseconds expected_end{0}; ///< From now.
    bool meets_deadline = false;

    bool operator==(const stream_plan&) const = default;
};

/// One plan for each stream, in the order of the streams given, and their sums.
struct reclaim_plan {
    std::vector<stream_plan> streams;
    std::uint64_t recomputed_tokens = 0;
    double microcents = 0;
    std::size_t late = 0;    ///< Streams that miss their deadline whatever is done.
    std::size_t waiting = 0; ///< Streams without a target.

    bool operator==(const reclaim_plan&) const = default;
};

/// A stream names an endpoint that is not among the leaving ones.
class unknown_leaving_endpoint : public std::invalid_argument {
public:
    explicit unknown_leaving_endpoint(endpoint_id id);
    [[nodiscard]] const endpoint_id& endpoint() const { return m_endpoint; }

private:
    endpoint_id m_endpoint;
};

/// Selects what to do with each stream of the leaving endpoints. Minimises weight x recomputed tokens + money
/// among the options that meet the stream's deadline; where none does, takes the one that ends first. Streams
/// are placed in the order of the tokens that would be recomputed without a move, the most first, so that
/// they get the export bandwidth and the free slots; each goes to the emptiest suitable endpoint. If every
/// stream has a slot, the order of recomputed tokens for each KV byte is tried as well and the cheaper plan
/// is returned. Pure function. Throws `unknown_leaving_endpoint`.
[[nodiscard]] reclaim_plan plan_reclaim(const reclaim_situation& situation, const reclaim_options& options);

/// Tokens that restarting every stream from scratch recomputes: the prompt and what was produced.
[[nodiscard]] std::uint64_t restart_tokens(const reclaim_situation& situation);

} // namespace siskinwharf::routing
