#include "siskinwharf/routing/router.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "group_selection.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

constexpr double microcents_per_cent = 1e6;
constexpr double bytes_per_gigabyte = 1e9;
// Selections per request. A selection is repeated when another thread takes the last slot before it is
// reserved.
constexpr int max_reservation_attempts = 4;

/// Price in microcents of sending `bytes` out of a region.
double egress_price(const egress_prices& egress, const region_id& from, double bytes)
{
    const auto found = egress.find(from);
    return found == egress.end() ? 0 : found->second * microcents_per_cent * bytes / bytes_per_gigabyte;
}

/// Selects an endpoint among all groups of a target.
class endpoint_selector {
public:
    endpoint_selector(const prepared_request& prepared, const target_endpoints& endpoints,
                      const egress_prices& egress)
        : m_prepared(prepared), m_endpoints(endpoints), m_egress(egress)
    {
    }

    /// Prefers the failure domain of the entry process, then its region. Another region is used if it is
    /// cheaper by the required advantage or if no endpoint of the own region can take the request.
    std::optional<selection> select()
    {
        auto nearby = select_nearby();
        auto remote = select_remote(nearby);
        return remote ? remote : nearby;
    }

    /// Why the last selection found no endpoint.
    [[nodiscard]] no_endpoint reason() const
    {
        if (m_saw_free_slot)
            return no_endpoint::target_cannot_be_met;
        if (m_saw_endpoint)
            return no_endpoint::all_full;
        const bool none_left = m_endpoints.groups.empty() && m_endpoints.isolated.empty();
        return none_left && m_endpoints.leaving > 0 ? no_endpoint::all_leaving
                                                    : no_endpoint::no_endpoint_for_target;
    }

    /// An isolated endpoint without streams. If there is none, `reason` tells why.
    std::optional<selection> select_isolated()
    {
        for (const auto& entry : m_endpoints.isolated) {
            const auto& keys = m_prepared.excluded_keys;
            if (std::find(keys.begin(), keys.end(), entry.key) != keys.end())
                continue;
            m_saw_endpoint = true;
            if (entry.load->streams() == 0)
                return selection{&entry, 0, m_prepared.options.round_trip_in_region};
        }
        return std::nullopt;
    }

    /// Price in microcents of the request in a region: its tokens and the egress in both directions.
    [[nodiscard]] double price_of(double per_token, const region_id& region) const
    {
        const auto& request = m_prepared.request;
        const double tokens = double{1} * request.prompt_tokens + request.output_tokens;
        if (region == request.region)
            return per_token * tokens;
        const double sent = double{1} * request.prompt_tokens * m_prepared.options.bytes_per_prompt_token;
        const double returned = double{1} * request.output_tokens * m_prepared.options.bytes_per_output_token;
        return per_token * tokens + egress_price(m_egress, request.region, sent) +
               egress_price(m_egress, region, returned);
    }

private:
    std::optional<selection> select_in(const endpoint_group& group, nanoseconds round_trip)
    {
        group_selection in_group(m_prepared, group, round_trip);
        auto found = in_group.select();
        m_saw_endpoint = m_saw_endpoint || in_group.saw_endpoint();
        m_saw_free_slot = m_saw_free_slot || in_group.saw_free_slot();
        return found;
    }

    std::optional<selection> select_nearby()
    {
        std::vector<std::pair<std::uint64_t, const endpoint_group*>> others;
        for (const auto& group : m_endpoints.groups) {
            if (group->domain == m_prepared.request.domain) {
                if (auto found = select_in(*group, m_prepared.options.round_trip_in_domain))
                    return found;
            } else if (group->region == m_prepared.request.region) {
                others.emplace_back(combine64(m_prepared.affinity_key, group->domain_key), group.get());
            }
        }
        // Ordering by a hash of prefix and domain spreads the overflow of a failure domain over the region
        // and sends equal prefixes to the same domain.
        std::sort(others.begin(), others.end());
        for (const auto& [weight, group] : others) {
            if (auto found = select_in(*group, m_prepared.options.round_trip_in_region))
                return found;
        }
        return std::nullopt;
    }

    std::optional<selection> select_remote(const std::optional<selection>& nearby)
    {
        const auto& request = m_prepared.request;
        double limit = std::numeric_limits<double>::infinity();
        if (nearby) {
            limit = price_of(microcents_per_token(*nearby->entry->info), request.region) *
                    (1 - m_prepared.options.required_price_advantage);
        }
        std::vector<std::pair<double, const endpoint_group*>> cheaper;
        const double tokens = double{1} * request.prompt_tokens + request.output_tokens;
        for (const auto& group : m_endpoints.groups) {
            if (group->region == request.region || group->cheapest_microcents_per_token * tokens >= limit)
                continue;
            const double total = price_of(group->cheapest_microcents_per_token, group->region);
            if (total < limit)
                cheaper.emplace_back(total, group.get());
        }
        std::sort(cheaper.begin(), cheaper.end());
        for (const auto& [total, group] : cheaper) {
            auto found = select_in(*group, m_prepared.options.round_trip_to_region);
            if (found && price_of(microcents_per_token(*found->entry->info), group->region) < limit)
                return found;
        }
        return std::nullopt;
    }

    const prepared_request& m_prepared;
    const target_endpoints& m_endpoints;
    const egress_prices& m_egress;
    bool m_saw_endpoint = false;
    bool m_saw_free_slot = false;
};

/// Number of leading prompt blocks that determine the affinity key under a policy.
struct affinity_blocks {
    std::size_t operator()(const prefix_affinity& policy) const { return policy.affinity_blocks; }
    template<typename Other>
    std::size_t operator()(const Other&) const
    {
        return 1;
    }
};

prepared_request prepare(const routing_request& request, const routing_options& options,
                         const cache_hints& hints, std::uint64_t request_number, monotonic_time now)
{
    prepared_request prepared{request, options, hints, now, 0, request_number, {}};
    const auto blocks = std::min(request.prefix_hashes.size(), std::visit(affinity_blocks{}, options.policy));
    // A prompt shorter than one block has no prefix to share, so the request number spreads such prompts.
    prepared.affinity_key = mix64(blocks > 0 ? request.prefix_hashes[blocks - 1] : request_number);
    prepared.excluded_keys.reserve(request.excluded.size());
    for (const auto& id : request.excluded)
        prepared.excluded_keys.push_back(hash64(id.value()));
    return prepared;
}

} // namespace

router::router(routing_table& table, const routing_options& options)
    : m_table(table), m_options(options), m_hints(m_options.cache_hint_slots)
{
}

routing_decision router::choose(const routing_request& request, monotonic_time now)
{
    const auto prepared =
        prepare(request, m_options, m_hints, m_request_number.fetch_add(1, std::memory_order_relaxed), now);
    const rcu_read_section section;
    const auto& snapshot = m_table.read(section);
    const auto known = snapshot.targets.find(request.serves);
    if (known == snapshot.targets.end())
        return no_endpoint::no_endpoint_for_target;
    for (int attempt = 0; attempt < max_reservation_attempts; ++attempt) {
        endpoint_selector selector(prepared, known->second, snapshot.egress);
        const auto found = request.isolated ? selector.select_isolated() : selector.select();
        if (!found)
            return selector.reason();
        const auto& entry = *found->entry;
        const std::uint32_t capacity = request.isolated ? 1 : usable_capacity(entry, m_options, now);
        if (!entry.load->try_acquire_slot(now, capacity, request.prompt_tokens, request.output_tokens))
            continue;
        for (const auto hash : request.prefix_hashes)
            m_hints.store(hash, {entry.key, entry.load->hint_generation()});
        return chosen_endpoint{entry.info,
                               in_flight_guard(entry.load, request.prompt_tokens, request.output_tokens, now),
                               found->cached_blocks, found->first_token};
    }
    return no_endpoint::all_full;
}

bool router::apply(const cache_event& event)
{
    const auto load = m_table.find_load(event.endpoint);
    if (!load || !load->apply_cache_event(event.sequence))
        return false;
    const auto key = hash64(event.endpoint.value());
    for (const auto hash : event.prefix_hashes) {
        if (event.kind == cache_event::change::stored)
            m_hints.store(hash, {key, load->hint_generation()});
        else
            m_hints.evict(hash, key);
    }
    return true;
}

double router::price_of(const routing_request& request, const endpoint_info& endpoint) const
{
    const prepared_request prepared{request, m_options, m_hints, {}, 0, 0, {}};
    const rcu_read_section section;
    const target_endpoints none;
    return endpoint_selector(prepared, none, m_table.read(section).egress)
        .price_of(microcents_per_token(endpoint), endpoint.region);
}

} // namespace siskinwharf::routing
