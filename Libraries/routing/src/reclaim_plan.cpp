#include "siskinwharf/routing/reclaim_plan.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace siskinwharf::routing {

namespace {

constexpr double microcents_per_cent = 1e6;
constexpr double bytes_per_gigabyte = 1e9;
// Number of endpoints of each region that are evaluated for a stream, those with the most free slots first.
// More than one, because the first may be too slow for the deadline; few, because a failure domain has
// thousands of streams.
constexpr std::size_t max_endpoints_tried_per_region = 4;
// Tokens or bytes per second assumed for an endpoint whose rate is unknown. Low enough that any endpoint with
// a known rate is preferred.
constexpr double assumed_unknown_rate = 1e-3;
// Upper limit of an estimated duration, about 30 years. Keeps sums of durations that follow from unknown
// rates representable in nanoseconds.
constexpr double max_duration_seconds = 1e9;

nanoseconds duration_of(double amount, double per_second)
{
    const double needed = std::min(amount / std::max(per_second, assumed_unknown_rate), max_duration_seconds);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(needed));
}

/// Tokens that the KV cache of the stream covers: its prompt and its output so far.
std::uint64_t known_tokens(const reclaimed_stream& stream)
{
    return std::uint64_t{stream.prompt_tokens} + stream.produced_tokens;
}

/// A leaving endpoint and the time, counted from now, at which the exports planned so far are complete.
struct leaving_state {
    const leaving_endpoint* endpoint = nullptr;
    nanoseconds export_free_at{0};
};

/// A target endpoint and the number of its slots that the plan has not assigned yet.
struct target_state {
    const reclaim_target* endpoint = nullptr;
    std::uint32_t free = 0;
};

/// Endpoints of one region that serve the same target, as a max-heap by free slots.
struct target_pool {
    region_id region;
    std::vector<std::pair<std::uint32_t, std::size_t>> heap; ///< Free slots and index into `m_targets`.
};

/// A possible action for a stream, with the score that ranks it. A lower score is better.
struct option {
    stream_plan plan;
    double score = std::numeric_limits<double>::infinity();
    std::size_t target = 0;
};

/// Orders options by whether they meet the deadline. Options that meet it are compared by score, then by end
/// time; options that miss it only by end time.
bool is_better(const option& left, const option& right)
{
    if (left.plan.meets_deadline != right.plan.meets_deadline)
        return left.plan.meets_deadline;
    if (!left.plan.meets_deadline)
        return left.plan.expected_end < right.plan.expected_end;
    return std::tie(left.score, left.plan.expected_end) < std::tie(right.score, right.plan.expected_end);
}

/// Priority by which streams are assigned export bandwidth and slots. `by_tokens` suits scarce slots,
/// `by_tokens_per_byte` (of KV cache) suits scarce export bandwidth.
enum class placement_order { by_tokens, by_tokens_per_byte };

/// Greedy planner: assigns the streams one after another and reserves what each of them uses.
class planner {
public:
    planner(const reclaim_snapshot& snapshot, const reclaim_options& options)
        : m_snapshot(snapshot), m_options(options)
    {
        for (const auto& endpoint : snapshot.leaving)
            m_leaving[endpoint.id] = {&endpoint, nanoseconds(0)};
        for (const auto& endpoint : snapshot.targets)
            add_target(endpoint);
    }

    reclaim_plan plan(placement_order placement)
    {
        std::vector<std::size_t> order(m_snapshot.streams.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t index) {
            const auto& stream = m_snapshot.streams[index];
            const auto value = static_cast<double>(value_of(stream));
            if (placement == placement_order::by_tokens)
                return value;
            return value / std::max(static_cast<double>(stream.kv_bytes), 1.0);
        });
        reclaim_plan result;
        result.streams.resize(order.size());
        for (const auto index : order) {
            auto planned = plan_stream(m_snapshot.streams[index]);
            result.recomputed_tokens += planned.recomputed_tokens;
            result.microcents += planned.microcents;
            if (std::holds_alternative<wait_for_capacity>(planned.action))
                ++result.waiting;
            else if (!planned.meets_deadline)
                ++result.late;
            result.streams[index] = std::move(planned);
        }
        return result;
    }

private:
    void add_target(const reclaim_target& endpoint)
    {
        const auto index = m_targets.size();
        m_targets.push_back({&endpoint, endpoint.free_streams});
        m_target_index[endpoint.id] = index;
        if (endpoint.free_streams == 0)
            return;
        auto& pools = m_pools[endpoint.serves];
        auto pool = std::ranges::find(pools, endpoint.region, &target_pool::region);
        if (pool == pools.end())
            pool = pools.insert(pools.end(), {endpoint.region, {}});
        pool->heap.emplace_back(endpoint.free_streams, index);
        std::ranges::push_heap(pool->heap);
    }

    /// Tokens that must be recomputed if the stream neither finishes in place nor moves its KV cache. Counts
    /// the longest prompt prefix that a target has cached as available.
    std::uint64_t value_of(const reclaimed_stream& stream) const
    {
        std::uint64_t cached = 0;
        for (const auto& [endpoint, tokens] : stream.cached) {
            if (m_target_index.contains(endpoint))
                cached = std::max<std::uint64_t>(cached, tokens);
        }
        return known_tokens(stream) - std::min<std::uint64_t>(cached, stream.prompt_tokens);
    }

    stream_plan plan_stream(const reclaimed_stream& stream)
    {
        const auto found = m_leaving.find(stream.endpoint);
        if (found == m_leaving.end())
            throw unknown_leaving_endpoint(stream.endpoint);
        auto& from = found->second;
        option best;
        best.plan = {wait_for_capacity{}, 0, 0, nanoseconds::max(), false};
        if (auto here = evaluate_finish(stream, from)) {
            best = *here;
            // Finishing in place is free and uses no slot or bandwidth that another stream could need.
            if (best.plan.meets_deadline)
                return best.plan;
        }
        for (const auto index : candidates(stream, from.endpoint->serves)) {
            for (auto& candidate :
                 {evaluate_move(stream, from, index), evaluate_continue(stream, from, index)}) {
                if (candidate && is_better(*candidate, best))
                    best = *candidate;
            }
        }
        reserve(stream, from, best);
        return best.plan;
    }

    /// Endpoints to evaluate: those that have a prefix of the prompt cached, and those with the most free
    /// slots of each region.
    std::vector<std::size_t> candidates(const reclaimed_stream& stream, const target& serves)
    {
        std::vector<std::size_t> found;
        for (const auto& cached : stream.cached) {
            const auto index = m_target_index.find(cached.endpoint);
            if (index != m_target_index.end() && m_targets[index->second].free > 0 &&
                m_targets[index->second].endpoint->serves == serves)
                found.push_back(index->second);
        }
        const auto pools = m_pools.find(serves);
        if (pools == m_pools.end())
            return found;
        for (auto& pool : pools->second) {
            const auto tried = with_most_free_slots(pool);
            found.insert(found.end(), tried.begin(), tried.end());
        }
        return found;
    }

    /// Indexes of up to `max_endpoints_tried_per_region` endpoints with the most free slots. Updates outdated
    /// heap entries on the way.
    std::vector<std::size_t> with_most_free_slots(target_pool& pool)
    {
        std::vector<std::size_t> found;
        std::vector<std::pair<std::uint32_t, std::size_t>> kept;
        while (found.size() < max_endpoints_tried_per_region && !pool.heap.empty()) {
            std::ranges::pop_heap(pool.heap);
            auto [free, index] = pool.heap.back();
            pool.heap.pop_back();
            const auto free_now = m_targets[index].free;
            if (free_now == 0)
                continue;
            if (free != free_now) {
                // The entry is outdated: slots were assigned after it was pushed.
                pool.heap.emplace_back(free_now, index);
                std::ranges::push_heap(pool.heap);
                continue;
            }
            found.push_back(index);
            kept.emplace_back(free, index);
        }
        for (const auto& entry : kept) {
            pool.heap.push_back(entry);
            std::ranges::push_heap(pool.heap);
        }
        return found;
    }

    /// The option to let the stream finish on its endpoint, or nothing if the time left is too short.
    static std::optional<option> evaluate_finish(const reclaimed_stream& stream, const leaving_state& from)
    {
        const auto end = duration_of(stream.remaining_tokens, from.endpoint->decode_tokens_per_second);
        if (end > from.endpoint->time_left)
            return std::nullopt;
        option result;
        result.plan = {finish_here{}, 0, 0, end, end <= stream.time_to_deadline};
        result.score = 0;
        return result;
    }

    /// The option to move the KV cache, or nothing if it cannot be exported, imported or transferred in the
    /// time left.
    std::optional<option> evaluate_move(const reclaimed_stream& stream, const leaving_state& from,
                                        std::size_t index) const
    {
        const auto& to = *m_targets[index].endpoint;
        if (!to.imports_kv || from.endpoint->export_bytes_per_second <= 0)
            return std::nullopt;
        const auto start = from.export_free_at;
        const auto moved = transfer_end(stream, from, to);
        if (moved > from.endpoint->time_left)
            return std::nullopt;
        const auto end = moved + duration_of(stream.remaining_tokens, to.decode_tokens_per_second);
        option result;
        const auto egress_microcents = egress_price(*from.endpoint, to, static_cast<double>(stream.kv_bytes));
        result.plan = {move_cache{to.id, start}, 0, egress_microcents, end, end <= stream.time_to_deadline};
        result.score = egress_microcents;
        result.target = index;
        return result;
    }

    /// The option to recompute the KV cache at the target, less the prompt prefix that is cached there.
    std::optional<option> evaluate_continue(const reclaimed_stream& stream, const leaving_state& from,
                                            std::size_t index) const
    {
        const auto& to = *m_targets[index].endpoint;
        std::uint64_t recomputed = known_tokens(stream);
        for (const auto& cached : stream.cached) {
            if (cached.endpoint == to.id)
                recomputed -=
                    std::min({recomputed, std::uint64_t{cached.tokens}, std::uint64_t{stream.prompt_tokens}});
        }
        const auto end = duration_of(static_cast<double>(recomputed), to.prefill_tokens_per_second) +
                         duration_of(stream.remaining_tokens, to.decode_tokens_per_second);
        const double bytes = static_cast<double>(known_tokens(stream)) * m_options.bytes_per_token;
        option result;
        const auto egress_microcents = egress_price(*from.endpoint, to, bytes);
        result.plan = {continue_elsewhere{to.id}, recomputed, egress_microcents, end,
                       end <= stream.time_to_deadline};
        result.score =
            m_options.microcents_per_recomputed_token * static_cast<double>(recomputed) + egress_microcents;
        result.target = index;
        return result;
    }

    /// Time, counted from now, at which the KV cache has arrived. A transfer between regions also waits for
    /// the link.
    nanoseconds transfer_end(const reclaimed_stream& stream, const leaving_state& from,
                             const reclaim_target& to) const
    {
        const auto bytes = static_cast<double>(stream.kv_bytes);
        auto end = from.export_free_at + duration_of(bytes, from.endpoint->export_bytes_per_second);
        if (from.endpoint->region != to.region) {
            const auto link = m_links.find(link_key(*from.endpoint, to));
            const auto link_free = link != m_links.end() ? link->second : nanoseconds(0);
            end = std::max(end, std::max(link_free, from.export_free_at) +
                                    duration_of(bytes, m_options.region_link_bytes_per_second));
        }
        return end;
    }

    /// Takes the slot, the export bandwidth and the link time that the chosen option uses.
    void reserve(const reclaimed_stream& stream, leaving_state& from, const option& best)
    {
        if (std::holds_alternative<finish_here>(best.plan.action) ||
            std::holds_alternative<wait_for_capacity>(best.plan.action))
            return;
        auto& to = m_targets[best.target];
        --to.free;
        if (!std::holds_alternative<move_cache>(best.plan.action))
            return;
        const auto end = transfer_end(stream, from, *to.endpoint);
        from.export_free_at = end;
        if (from.endpoint->region != to.endpoint->region)
            m_links[link_key(*from.endpoint, *to.endpoint)] = end;
    }

    static std::pair<std::string, std::string> link_key(const leaving_endpoint& from,
                                                        const reclaim_target& to)
    {
        return {from.region.value(), to.region.value()};
    }

    /// Price in microcents of sending `bytes` between two endpoints. 0 within a region.
    double egress_price(const leaving_endpoint& from, const reclaim_target& to, double bytes) const
    {
        if (from.region == to.region)
            return 0;
        const auto found = m_snapshot.egress.find(from.region);
        if (found == m_snapshot.egress.end())
            return 0;
        return found->second * microcents_per_cent * bytes / bytes_per_gigabyte;
    }

    const reclaim_snapshot& m_snapshot;
    const reclaim_options& m_options;
    std::unordered_map<endpoint_id, leaving_state> m_leaving;
    std::vector<target_state> m_targets;
    std::unordered_map<endpoint_id, std::size_t> m_target_index;
    std::unordered_map<target, std::vector<target_pool>, target_hash> m_pools;
    /// End of the last planned transfer on each link between two regions, counted from now.
    std::map<std::pair<std::string, std::string>, nanoseconds> m_links;
};

/// Weighted recomputation plus transfer price, in microcents.
double total_score(const reclaim_plan& plan, const reclaim_options& options)
{
    return options.microcents_per_recomputed_token * static_cast<double>(plan.recomputed_tokens) +
           plan.microcents;
}

} // namespace

unknown_leaving_endpoint::unknown_leaving_endpoint(endpoint_id id)
    : std::invalid_argument("endpoint " + id.value() +
                            " has streams to reclaim but is not listed as leaving"),
      m_endpoint(std::move(id))
{
}

reclaim_plan plan_reclaim(const reclaim_snapshot& snapshot, const reclaim_options& options)
{
    auto plan = planner(snapshot, options).plan(placement_order::by_tokens);
    // With too few slots, the streams that wait must be those with the fewest tokens to recompute, which only
    // this order ensures. A plan that recomputes nothing is returned without trying the other order.
    if (plan.waiting > 0 || plan.recomputed_tokens == 0)
        return plan;
    auto by_bandwidth = planner(snapshot, options).plan(placement_order::by_tokens_per_byte);
    return by_bandwidth.late <= plan.late && total_score(by_bandwidth, options) < total_score(plan, options)
               ? by_bandwidth
               : plan;
}

std::uint64_t restart_tokens(const reclaim_snapshot& snapshot)
{
    std::uint64_t sum = 0;
    for (const auto& stream : snapshot.streams)
        sum += known_tokens(stream);
    return sum;
}

} // namespace siskinwharf::routing
