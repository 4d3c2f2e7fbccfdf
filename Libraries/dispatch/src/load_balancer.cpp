#include "siskinwharf/dispatch/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// Time from the end of reading the prompt to the first event.
constexpr double first_event_ms = 40;
/// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.1;
/// Weights of the moving average that follows the faster samples: delays, which are no loss of speed, prevail
/// in the others.
constexpr double faster_weight = 0.05;
constexpr double slower_weight = 0.01;
constexpr double slowest_tokens_per_ms = 2;
constexpr double fastest_tokens_per_ms = 500;
/// Share of the latency target that the expected time may take, less for less urgent requests, so that these
/// are refused first.
constexpr double budget_share = 0.95;
constexpr double budget_step = 0.15;
constexpr double lowest_budget_share = 0.5;
/// A refused caller comes back when the excess has been worked off, within these bounds.
constexpr milliseconds shortest_retry{100};
constexpr milliseconds longest_retry{2'000};
/// An endpoint that joins or restarts takes about this long.
constexpr milliseconds retry_without_endpoint{700};
/// Without an index of what others sent there, this share of the shared parts is taken to be at the preferred
/// endpoint.
constexpr double preferred_cache_share = 0.8;
/// Reading a part again delays the requests after it too, and is billed: it weighs more than the own wait.
constexpr double reading_weight = 2;
constexpr std::uint64_t default_cache_tokens = 400'000;
/// A change of an engine's waiting tokens that peers are to know at once: about 20 ms of reading.
constexpr std::uint64_t notable_tokens = 1'200;

std::uint64_t preference(std::uint64_t key, const endpoint_id& endpoint)
{
    return combine64(key, hash64(endpoint.value()));
}

/// The last part that other requests share: the last part belongs to the request itself.
std::uint64_t shared_part(const workload& work)
{
    return work.parts.size() < 2 ? 0 : work.parts[work.parts.size() - 2].id;
}

std::uint64_t shared_tokens(const workload& work)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < work.parts.size(); ++index)
        tokens += work.parts[index].tokens;
    return tokens;
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return reason == refusal_reason::no_endpoint ? "no_endpoint" : "overloaded";
}

void load_balancer::set_endpoints(const std::vector<endpoint_record>& endpoints)
{
    std::unordered_map<endpoint_id, endpoint_state> next;
    m_by_service.clear();
    for (const auto& record : endpoints) {
        auto& state = next[record.id];
        if (const auto found = m_endpoints.find(record.id);
            found != m_endpoints.end() && found->second.record.started_ms == record.started_ms)
            state = std::move(found->second);
        state.record = record;
        m_by_service[record.service].push_back(record.id);
    }
    m_endpoints = std::move(next);
}

void load_balancer::set_peer_loads(const std::vector<endpoint_load>& loads)
{
    for (auto& [id, state] : m_endpoints) {
        state.peers_running = 0;
        state.peers_waiting_tokens = 0;
    }
    add_peer_loads(loads);
}

void load_balancer::add_peer_loads(const std::vector<endpoint_load>& loads)
{
    for (const auto& load : loads) {
        if (const auto found = m_endpoints.find(load.endpoint); found != m_endpoints.end()) {
            found->second.peers_running += load.running;
            found->second.peers_waiting_tokens += load.waiting_tokens;
        }
    }
}

void load_balancer::change_peer_loads(const std::vector<endpoint_load>& before,
                                      const std::vector<endpoint_load>& after)
{
    for (const auto& load : before) {
        if (const auto found = m_endpoints.find(load.endpoint); found != m_endpoints.end()) {
            auto& state = found->second;
            state.peers_running -= std::min(state.peers_running, load.running);
            state.peers_waiting_tokens -= std::min(state.peers_waiting_tokens, load.waiting_tokens);
        }
    }
    add_peer_loads(after);
}

void load_balancer::notify_load_change(const endpoint_state& state)
{
    const auto told = m_published_tokens.find(state.record.id);
    const auto known = told == m_published_tokens.end() ? 0 : told->second;
    const auto difference = std::max(known, state.waiting_tokens) - std::min(known, state.waiting_tokens);
    if (difference >= notable_tokens && m_on_changed_load)
        m_on_changed_load();
}

std::vector<endpoint_load> load_balancer::take_changed_loads()
{
    std::vector<endpoint_load> changed;
    std::map<endpoint_id, std::uint64_t> told;
    for (const auto& [id, state] : m_endpoints) {
        const auto before = m_published_tokens.find(id);
        const auto known = before == m_published_tokens.end() ? 0 : before->second;
        if (state.waiting_tokens != known)
            changed.push_back({id, state.running, state.waiting_tokens});
        if (state.waiting_tokens > 0)
            told.emplace(id, state.waiting_tokens);
    }
    m_published_tokens = std::move(told);
    return changed;
}

const load_balancer::service_times& load_balancer::times_of(const service_id& service) const
{
    static const service_times defaults;
    const auto found = m_times.find(service);
    return found == m_times.end() ? defaults : found->second;
}

std::uint64_t load_balancer::prefill_tokens(const endpoint_state& state, const workload& work) const
{
    return work.prompt_tokens - std::min(work.prompt_tokens, state.cache.cached_tokens(work.parts));
}

double load_balancer::expected_ms(const endpoint_state& state, const deployment::service& wanted,
                                  const workload& work, std::uint64_t reading) const
{
    const auto& times = times_of(wanted.id);
    const double slots = std::max(1U, state.record.slots);
    const double running = state.running + state.peers_running;
    double expected = state.record.region == m_settings.region
                          ? 0
                          : static_cast<double>(m_settings.inter_region_round_trip.count());
    if (running >= slots)
        expected += (running - slots + 1) * times.answer_ms / slots;
    if (!wanted.engine)
        return expected + times.answer_ms;
    const auto ahead = state.waiting_tokens + state.peers_waiting_tokens;
    expected += static_cast<double>(ahead + reading) / times.tokens_per_ms + first_event_ms;
    const auto capacity = wanted.engine->cache_tokens;
    const auto needed = state.reserved_tokens + work.prompt_tokens + work.answer_tokens;
    if (capacity > 0 && needed > capacity)
        expected += times.answer_ms * static_cast<double>(needed - capacity) / static_cast<double>(capacity) +
                    times.answer_ms / slots;
    return expected;
}

double load_balancer::preference_ms(const endpoint_state& state) const
{
    if (state.record.region != m_settings.region)
        return static_cast<double>(m_settings.other_region_penalty.count());
    if (state.record.domain != m_settings.domain)
        return static_cast<double>(m_settings.other_domain_penalty.count());
    return 0;
}

load_balancer::candidate_set load_balancer::find_candidates(const service_id& service, const workload& work,
                                                            const std::vector<endpoint_id>& tried,
                                                            monotonic_time now) const
{
    candidate_set result;
    const auto listed = m_by_service.find(service);
    if (listed == m_by_service.end())
        return result;
    const endpoint_state* avoided = nullptr;
    std::uint64_t best_preference = 0;
    const auto key = shared_part(work);
    for (const auto& id : listed->second) {
        const auto& state = m_endpoints.at(id);
        if (state.record.is_leaving || std::ranges::find(tried, id) != tried.end())
            continue;
        if (state.backoff_until > now) {
            if (avoided == nullptr || state.backoff_until < avoided->backoff_until)
                avoided = &state;
            continue;
        }
        result.endpoints.push_back(&state);
        result.lowest_failure = std::min(result.lowest_failure, state.failure_rate);
        if (key != 0 && state.record.domain == m_settings.domain && preference(key, id) >= best_preference) {
            best_preference = preference(key, id);
            result.preferred = &state;
        }
    }
    if (result.endpoints.empty() && avoided != nullptr)
        result.endpoints.push_back(avoided);
    return result;
}

placement_decision load_balancer::place(const deployment::service& wanted, const workload& work,
                                        const std::vector<endpoint_id>& tried, milliseconds budget,
                                        monotonic_time now) const
{
    const auto candidates = find_candidates(wanted.id, work, tried, now);
    if (candidates.endpoints.empty())
        return placement_refusal{refusal_reason::no_endpoint, retry_without_endpoint, milliseconds(0)};

    const endpoint_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    double best_expected = 0;
    for (const auto* state : candidates.endpoints) {
        auto reading = prefill_tokens(*state, work);
        if (state == candidates.preferred && reading == work.prompt_tokens)
            reading -= std::min(reading, static_cast<std::uint64_t>(static_cast<double>(shared_tokens(work)) *
                                                                    preferred_cache_share));
        const auto expected = expected_ms(*state, wanted, work, reading);
        const auto penalty = (state->failure_rate - candidates.lowest_failure) *
                             static_cast<double>(m_settings.failure_penalty.count());
        // A fraction of a millisecond spreads requests over equal endpoints by their number of requests.
        const auto spread = static_cast<double>(state->running + state->peers_running) * 0.5;
        const auto reading_ms = static_cast<double>(reading) / times_of(wanted.id).tokens_per_ms;
        const auto cost = expected + penalty + preference_ms(*state) + spread + reading_ms * reading_weight;
        if (cost < best_cost) {
            best = state;
            best_cost = cost;
            best_expected = expected;
        }
    }
    const auto share =
        std::max(lowest_budget_share, budget_share - budget_step * static_cast<double>(work.urgency));
    const auto limit = static_cast<double>(budget.count()) * share;
    const milliseconds expected(static_cast<std::int64_t>(best_expected));
    // One request at a time is always tried, so that a wrong estimate is corrected by its time.
    const bool has_own = best->running > 0;
    if (budget.count() > 0 && has_own && best_expected > limit) {
        const milliseconds excess(static_cast<std::int64_t>(best_expected - limit));
        return placement_refusal{refusal_reason::overloaded,
                                 std::clamp(excess, shortest_retry, longest_retry), expected};
    }
    return placement{best->record, expected, candidates.endpoints.size()};
}

attempt_ticket load_balancer::start(const deployment::service& wanted, const endpoint_id& endpoint,
                                    const workload& work, monotonic_time now)
{
    attempt_ticket ticket;
    ticket.endpoint = endpoint;
    ticket.service = wanted.id;
    ticket.started = now;
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return ticket;
    auto& state = found->second;
    ticket.started_ms = state.record.started_ms;
    ticket.prefill_tokens = prefill_tokens(state, work);
    ticket.tokens_ahead = state.waiting_tokens + state.peers_waiting_tokens;
    ticket.running_before = state.running + state.peers_running;
    ticket.reserved_tokens = work.prompt_tokens + work.answer_tokens;
    ++state.running;
    state.waiting_tokens += ticket.prefill_tokens;
    state.reserved_tokens += ticket.reserved_tokens;
    notify_load_change(state);
    if (wanted.engine) {
        const auto capacity = wanted.engine->cache_tokens;
        state.cache.add(work.parts, capacity == 0 ? default_cache_tokens : capacity);
    }
    return ticket;
}

void load_balancer::first_event(attempt_ticket& ticket, monotonic_time now)
{
    if (ticket.first_event_at)
        return;
    ticket.first_event_at = now;
    const auto found = m_endpoints.find(ticket.endpoint);
    if (found != m_endpoints.end() && found->second.record.started_ms == ticket.started_ms) {
        found->second.waiting_tokens -= std::min(found->second.waiting_tokens, ticket.prefill_tokens);
        notify_load_change(found->second);
    }
    const auto tokens = static_cast<double>(ticket.prefill_tokens + ticket.tokens_ahead);
    const auto waited =
        std::chrono::duration<double, std::milli>(now - ticket.started).count() - first_event_ms;
    // Short prompts say little about the speed: the fixed part of their time prevails.
    constexpr double fewest_tokens = 3'000;
    if (tokens < fewest_tokens || waited <= 0)
        return;
    auto& times = m_times[ticket.service];
    const auto sample = std::clamp(tokens / waited, slowest_tokens_per_ms, fastest_tokens_per_ms);
    times.tokens_per_ms += sample_weight * (sample - times.tokens_per_ms);
    auto& unhindered = times.uncontended_tokens_per_ms;
    unhindered += (sample > unhindered ? faster_weight : slower_weight) * (sample - unhindered);
}

void load_balancer::finish(attempt_ticket& ticket, attempt_result result, monotonic_time now)
{
    if (result == attempt_result::answered) {
        auto& times = m_times[ticket.service];
        const auto taken = std::chrono::duration<double, std::milli>(now - ticket.started).count();
        times.answer_ms += sample_weight * (taken - times.answer_ms);
    }
    const auto found = m_endpoints.find(ticket.endpoint);
    if (found == m_endpoints.end() || found->second.record.started_ms != ticket.started_ms)
        return;
    auto& state = found->second;
    state.running -= std::min(state.running, 1U);
    if (!ticket.first_event_at)
        state.waiting_tokens -= std::min(state.waiting_tokens, ticket.prefill_tokens);
    state.reserved_tokens -= std::min(state.reserved_tokens, ticket.reserved_tokens);
    if (result == attempt_result::cancelled)
        return;
    const bool failed = result != attempt_result::answered;
    state.failure_rate += sample_weight * ((failed ? 1.0 : 0.0) - state.failure_rate);
    if (result != attempt_result::unreachable && result != attempt_result::broken) {
        state.consecutive_failures = 0;
        return;
    }
    ++state.consecutive_failures;
    // One broken connection can be chance; a refused one is a sign that the endpoint is not there.
    if (result == attempt_result::broken && state.consecutive_failures < 2)
        return;
    const auto doubled = m_settings.initial_backoff * (1 << std::min(state.consecutive_failures - 1, 4U));
    state.backoff_until = now + std::min(doubled, m_settings.maximum_backoff);
}

std::vector<endpoint_load> load_balancer::own_loads() const
{
    std::vector<endpoint_load> loads;
    for (const auto& [id, state] : m_endpoints) {
        if (state.running > 0)
            loads.push_back({id, state.running, state.waiting_tokens});
    }
    std::ranges::sort(loads);
    return loads;
}

const endpoint_state* load_balancer::find(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

bool load_balancer::is_listed(const endpoint_id& endpoint) const
{
    const auto* state = find(endpoint);
    return state != nullptr && !state->record.is_leaving;
}

} // namespace siskinwharf::dispatch
