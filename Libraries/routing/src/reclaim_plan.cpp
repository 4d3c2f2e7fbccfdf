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
// Emptiest endpoints of a region that are tried for one stream. More than one, because the emptiest may be
// too slow for the deadline; few, because a whole failure domain has thousands of streams.
constexpr std::size_t endpoints_tried = 4;
// An endpoint without a known rate is taken as so slow that any other one is preferred.
constexpr double unknown_rate = 1e-3;
// 30 years; keeps sums of durations of unknown rates representable.
constexpr double longest_seconds = 1e9;

nanoseconds duration_of(double amount, double per_second)
{
    const double needed = std::min(amount / std::max(per_second, unknown_rate), longest_seconds);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(needed));
}

std::uint64_t known_tokens(const reclaimed_stream& stream)
{
    return std::uint64_t{stream.prompt_tokens} + stream.produced_tokens;
}

struct leaving_state {
    const leaving_endpoint* endpoint = nullptr;
    nanoseconds export_free_at{0};
};

struct target_state {
    const reclaim_target* endpoint = nullptr;
    std::uint32_t free = 0;
};

/// Targets of one region that serve the same, emptiest first.
struct target_pool {
    region_id region;
    std::vector<std::pair<std::uint32_t, std::size_t>> heap; ///< Free slots and index of the target.
};

/// One way to deal with a stream.
struct option {
    stream_plan plan;
    double score = std::numeric_limits<double>::infinity();
    std::size_t target = 0;
};

bool better(const option& left, const option& right)
{
    if (left.plan.meets_deadline != right.plan.meets_deadline)
        return left.plan.meets_deadline;
    if (!left.plan.meets_deadline)
        return left.plan.expected_end < right.plan.expected_end;
    return std::tie(left.score, left.plan.expected_end) < std::tie(right.score, right.plan.expected_end);
}

/// What decides which streams get export bandwidth and slots first. By tokens suits scarce slots, by tokens
/// for each KV byte suits scarce export bandwidth.
enum class placement_order { by_tokens, by_tokens_per_byte };

class planner {
public:
    planner(const reclaim_situation& situation, const reclaim_options& options)
        : m_situation(situation), m_options(options)
    {
        for (const auto& endpoint : situation.leaving)
            m_leaving[endpoint.id] = {&endpoint, nanoseconds(0)};
        for (const auto& endpoint : situation.targets)
            add_target(endpoint);
    }

    reclaim_plan plan(placement_order placement)
    {
        std::vector<std::size_t> order(m_situation.streams.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t index) {
            const auto& stream = m_situation.streams[index];
            const auto value = static_cast<double>(value_of(stream));
            if (placement == placement_order::by_tokens)
                return value;
            return value / std::max(static_cast<double>(stream.kv_bytes), 1.0);
        });
        reclaim_plan result;
        result.streams.resize(order.size());
        for (const auto index : order) {
            auto planned = plan_stream(m_situation.streams[index]);
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

    /// Tokens that are recomputed unless the stream finishes or moves.
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
        if (auto here = finish(stream, from)) {
            best = *here;
            // Costs nothing and takes nothing from other streams.
            if (best.plan.meets_deadline)
                return best.plan;
        }
        for (const auto index : candidates(stream, from.endpoint->serves)) {
            for (auto& candidate : {move(stream, from, index), continued(stream, from, index)}) {
                if (candidate && better(*candidate, best))
                    best = *candidate;
            }
        }
        reserve(stream, from, best);
        return best.plan;
    }

    /// Endpoints to try: those that hold a part of the prompt, and the emptiest of each region.
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
            const auto tried = emptiest(pool);
            found.insert(found.end(), tried.begin(), tried.end());
        }
        return found;
    }

    std::vector<std::size_t> emptiest(target_pool& pool)
    {
        std::vector<std::size_t> found;
        std::vector<std::pair<std::uint32_t, std::size_t>> kept;
        while (found.size() < endpoints_tried && !pool.heap.empty()) {
            std::ranges::pop_heap(pool.heap);
            auto [free, index] = pool.heap.back();
            pool.heap.pop_back();
            const auto free_now = m_targets[index].free;
            if (free_now == 0)
                continue;
            if (free != free_now) {
                // Slots were taken since the entry was made.
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

    static std::optional<option> finish(const reclaimed_stream& stream, const leaving_state& from)
    {
        const auto end = duration_of(stream.remaining_tokens, from.endpoint->decode_tokens_per_second);
        if (end > from.endpoint->time_left)
            return std::nullopt;
        option result;
        result.plan = {finish_here{}, 0, 0, end, end <= stream.time_to_deadline};
        result.score = 0;
        return result;
    }

    std::optional<option> move(const reclaimed_stream& stream, const leaving_state& from,
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
        const auto money = volume_price(*from.endpoint, to, static_cast<double>(stream.kv_bytes));
        result.plan = {move_cache{to.id, start}, 0, money, end, end <= stream.time_to_deadline};
        result.score = money;
        result.target = index;
        return result;
    }

    std::optional<option> continued(const reclaimed_stream& stream, const leaving_state& from,
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
        const auto money = volume_price(*from.endpoint, to, bytes);
        result.plan = {continue_elsewhere{to.id}, recomputed, money, end, end <= stream.time_to_deadline};
        result.score = m_options.microcents_per_recomputed_token * static_cast<double>(recomputed) + money;
        result.target = index;
        return result;
    }

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

    double volume_price(const leaving_endpoint& from, const reclaim_target& to, double bytes) const
    {
        if (from.region == to.region)
            return 0;
        const auto found = m_situation.egress.find(from.region);
        if (found == m_situation.egress.end())
            return 0;
        return found->second * microcents_per_cent * bytes / bytes_per_gigabyte;
    }

    const reclaim_situation& m_situation;
    const reclaim_options& m_options;
    std::unordered_map<endpoint_id, leaving_state> m_leaving;
    std::vector<target_state> m_targets;
    std::unordered_map<endpoint_id, std::size_t> m_target_index;
    std::unordered_map<target, std::vector<target_pool>, target_hash> m_pools;
    std::map<std::pair<std::string, std::string>, nanoseconds> m_links; ///< When each is free again.
};

double total_score(const reclaim_plan& plan, const reclaim_options& options)
{
    return options.microcents_per_recomputed_token * static_cast<double>(plan.recomputed_tokens) +
           plan.microcents;
}

} // namespace

unknown_leaving_endpoint::unknown_leaving_endpoint(endpoint_id id)
    : std::invalid_argument("endpoint " + id.value() + " has streams but is not among the leaving ones"),
      m_endpoint(std::move(id))
{
}

reclaim_plan plan_reclaim(const reclaim_situation& situation, const reclaim_options& options)
{
    auto plan = planner(situation, options).plan(placement_order::by_tokens);
    // Where slots are scarce, the streams that wait must be the least valuable ones.
    if (plan.waiting > 0 || plan.recomputed_tokens == 0)
        return plan;
    auto other = planner(situation, options).plan(placement_order::by_tokens_per_byte);
    return other.late <= plan.late && total_score(other, options) < total_score(plan, options) ? other : plan;
}

std::uint64_t restart_tokens(const reclaim_situation& situation)
{
    std::uint64_t sum = 0;
    for (const auto& stream : situation.streams)
        sum += known_tokens(stream);
    return sum;
}

} // namespace siskinwharf::routing
