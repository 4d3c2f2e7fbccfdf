#include "siskinwharf/dispatch/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.1;
/// Weights of the moving average that follows the faster samples. Slower samples weigh less because they
/// mostly show queueing delays rather than the speed of the engine.
constexpr double faster_sample_weight = 0.05;
constexpr double slower_sample_weight = 0.01;
/// Bounds of a sample of the prefill speed.
constexpr double minimum_tokens_per_ms = 2;
constexpr double maximum_tokens_per_ms = 500;
/// Fraction of the latency budget that the expected time may take. It decreases by `budget_share_step` for
/// each less urgent level, so that less urgent requests are refused first.
constexpr double budget_share = 0.95;
constexpr double budget_share_step = 0.15;
constexpr double minimum_budget_share = 0.5;
/// Bounds of the retry delay of a refused request, which is the time by which the expected time exceeds its
/// limit.
constexpr milliseconds minimum_retry_after{100};
constexpr milliseconds maximum_retry_after{2'000};
/// Retry delay when there is no endpoint: about the time that an endpoint takes to join or restart.
constexpr milliseconds retry_after_without_endpoint{700};
/// Weight of the prefill time in the cost of an endpoint. Computing a prompt again also delays the requests
/// behind it and is billed, so it counts more than the request's own waiting time.
constexpr double prefill_weight = 2;
/// Measurements of less expected time than this are omitted from messages to peers.
constexpr double published_evidence_ms = 20;
/// Assumed cache capacity of an engine that reports none.
constexpr std::uint64_t default_cache_tokens = 400'000;
/// Change of an engine's waiting tokens that is published to peers at once: about 20 ms of prefill.
constexpr std::uint64_t published_change_tokens = 1'200;

/// Identifier of the last prompt part that other requests may share, or 0. The last part of a prompt is
/// specific to its request.
std::uint64_t last_shared_part_id(const workload& work)
{
    return work.parts.size() < 2 ? 0 : work.parts[work.parts.size() - 2].id;
}

/// Tokens of all prompt parts except the last.
std::uint64_t shared_prefix_tokens(const workload& work)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < work.parts.size(); ++index)
        tokens += work.parts[index].tokens;
    return tokens;
}

/// Whether the software version of the endpoint can serve the request.
bool can_serve(const endpoint_record& endpoint, const workload& work)
{
    if (work.software)
        return *work.software == endpoint.software;
    return !work.allowed_software || work.allowed_software->contains(endpoint.software);
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::limited:
        return "limited";
    }
    return "unknown";
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
        state.id_hash = hash64(record.id.value());
    }
    m_endpoints = std::move(next);
    m_constraints.retain(endpoints);
    for (const auto& record : endpoints)
        m_by_service[record.service].push_back(&m_endpoints.at(record.id));
}

std::vector<endpoint_limit> load_balancer::merge_limits(const std::vector<endpoint_limit>& limits,
                                                        monotonic_time now)
{
    std::vector<endpoint_limit> news;
    for (const auto& limit : limits) {
        const auto* state = find(limit.endpoint);
        if (state == nullptr)
            continue;
        if (limit.is_leaving ? m_constraints.merge_leaving(state->record, limit, now)
                             : m_constraints.merge(state->record, limit, now))
            news.push_back(limit);
    }
    return news;
}

void load_balancer::set_peer_loads(const std::vector<endpoint_load>& loads)
{
    for (auto& [id, state] : m_endpoints) {
        state.peers_running = 0;
        state.peers_waiting_tokens = 0;
        state.peers_speed = {};
    }
    add_peer_loads(loads);
}

void load_balancer::add_peer_loads(const std::vector<endpoint_load>& loads)
{
    for (const auto& load : loads) {
        if (const auto found = m_endpoints.find(load.endpoint); found != m_endpoints.end()) {
            found->second.peers_running += load.running;
            found->second.peers_waiting_tokens += load.waiting_tokens;
            found->second.peers_speed = found->second.peers_speed + load.speed;
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
            state.peers_speed = state.peers_speed - load.speed;
        }
    }
    add_peer_loads(after);
}

void load_balancer::notify_load_change(const endpoint_state& state)
{
    const auto published = m_published_tokens.find(state.record.id);
    const auto known = published == m_published_tokens.end() ? 0 : published->second;
    const auto difference = std::max(known, state.waiting_tokens) - std::min(known, state.waiting_tokens);
    if (difference >= published_change_tokens && m_on_changed_load)
        m_on_changed_load();
}

std::vector<endpoint_load> load_balancer::take_changed_loads()
{
    std::vector<endpoint_load> changed;
    std::map<endpoint_id, std::uint64_t> published;
    for (const auto& [id, state] : m_endpoints) {
        const auto before = m_published_tokens.find(id);
        const auto known = before == m_published_tokens.end() ? 0 : before->second;
        if (state.waiting_tokens != known)
            changed.push_back({id, state.running, state.waiting_tokens, state.speed});
        if (state.waiting_tokens > 0)
            published.emplace(id, state.waiting_tokens);
    }
    m_published_tokens = std::move(published);
    return changed;
}

const load_balancer::latency_averages& load_balancer::averages_of(const service_id& service) const
{
    static const latency_averages defaults;
    const auto found = m_averages.find(service);
    return found == m_averages.end() ? defaults : found->second;
}

std::uint64_t load_balancer::prefill_tokens(const endpoint_state& state, const workload& work) const
{
    return work.prompt_tokens - std::min(work.prompt_tokens, state.cache.cached_tokens(work.parts));
}

double load_balancer::round_trip_ms(const endpoint_state& state) const
{
    return state.record.region == m_settings.region
               ? 0
               : static_cast<double>(m_settings.inter_region_round_trip.count());
}

double load_balancer::queue_ms(const endpoint_state& state, const deployment::service& wanted,
                               const latency_averages& times, const workload& work) const
{
    const double slots = std::max(1U, state.record.slots);
    const double running = state.running + state.peers_running;
    double expected = 0;
    if (running >= slots)
        expected += (running - slots + 1) * times.answer_ms / slots;
    if (!wanted.engine)
        return expected;
    const auto capacity = wanted.engine->cache_tokens;
    const auto needed = state.reserved_tokens + work.prompt_tokens + work.answer_tokens;
    if (capacity > 0 && needed > capacity)
        expected += times.answer_ms * static_cast<double>(needed - capacity) / static_cast<double>(capacity) +
                    times.answer_ms / slots;
    return expected;
}

double load_balancer::expected_ms(const endpoint_state& state, const deployment::service& wanted,
                                  const latency_averages& times, const workload& work,
                                  std::uint64_t prefill) const
{
    const auto queue = queue_ms(state, wanted, times, work);
    if (!wanted.engine)
        return round_trip_ms(state) + queue + times.answer_ms;
    const auto ahead = state.waiting_tokens + state.peers_waiting_tokens;
    const auto prompt = prompt_ms(static_cast<double>(ahead + prefill), times);
    return round_trip_ms(state) + (queue + prompt) * state.slowdown;
}

double load_balancer::locality_penalty_ms(const endpoint_state& state) const
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
    const endpoint_state* in_backoff = nullptr;
    std::uint64_t best_hash = 0;
    const auto key = last_shared_part_id(work);
    result.endpoints.reserve(listed->second.size());
    for (const auto* state : listed->second) {
        if (state->record.is_leaving)
            continue;
        if (!can_serve(state->record, work))
            continue;
        if (const auto wait = m_constraints.wait(state->record, now); wait.count() > 0) {
            result.constraint_wait = std::min(result.constraint_wait, wait);
            continue;
        }
        if (std::ranges::find(tried, state->record.id) != tried.end()) {
            result.has_tried = true;
            continue;
        }
        if (state->backoff_until > now) {
            if (in_backoff == nullptr || state->backoff_until < in_backoff->backoff_until)
                in_backoff = state;
            continue;
        }
        result.endpoints.push_back(state);
        result.lowest_failure_rate = std::min(result.lowest_failure_rate, state->failure_rate);
        if (key == 0 || state->record.domain != m_settings.domain)
            continue;
        // Rendezvous hash of the prompt prefix and the endpoint.
        if (const auto hash = combine64(key, state->id_hash); hash >= best_hash) {
            best_hash = hash;
            result.preferred = state;
        }
    }
    if (result.endpoints.empty() && in_backoff != nullptr)
        result.endpoints.push_back(in_backoff);
    return result;
}

placement_decision load_balancer::place(const deployment::service& wanted, const workload& work,
                                        const std::vector<endpoint_id>& tried, milliseconds budget,
                                        monotonic_time now) const
{
    const auto candidates = find_candidates(wanted.id, work, tried, now);
    if (candidates.endpoints.empty() && candidates.constraint_wait != endpoint_constraints::never) {
        const auto wait = candidates.has_tried
                              ? std::min(candidates.constraint_wait, retry_after_without_endpoint)
                              : candidates.constraint_wait;
        return placement_refusal{refusal_reason::limited, std::max(wait, minimum_retry_after),
                                 milliseconds(0)};
    }
    if (candidates.endpoints.empty())
        return placement_refusal{refusal_reason::no_endpoint, retry_after_without_endpoint, milliseconds(0)};

    const auto& times = averages_of(wanted.id);
    const endpoint_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    double best_expected = 0;
    std::uint64_t best_uncertain = 0;
    for (const auto* state : candidates.endpoints) {
        auto prefill = prefill_tokens(*state, work);
        const auto uncertain = state == candidates.preferred && prefill == work.prompt_tokens
                                   ? std::min(prefill, shared_prefix_tokens(work))
                                   : 0;
        prefill -= static_cast<std::uint64_t>(static_cast<double>(uncertain) * times.cached_share);
        const auto expected = expected_ms(*state, wanted, times, work, prefill);
        const auto penalty = (state->failure_rate - candidates.lowest_failure_rate) *
                             static_cast<double>(m_settings.failure_penalty.count());
        // Half a millisecond per running request spreads requests over endpoints of equal cost.
        const auto spread = static_cast<double>(state->running + state->peers_running) * 0.5;
        const auto prefill_ms = static_cast<double>(prefill) / times.tokens_per_ms * state->slowdown;
        const auto silence = static_cast<double>(m_activity.overdue_silence(state->record.id, now).count());
        const auto cost =
            silence + expected + penalty + locality_penalty_ms(*state) + spread + prefill_ms * prefill_weight;
        if (cost < best_cost) {
            best = state;
            best_cost = cost;
            best_expected = expected;
            best_uncertain = uncertain;
        }
    }
    const auto share =
        std::max(minimum_budget_share, budget_share - budget_share_step * static_cast<double>(work.urgency));
    const auto limit = static_cast<double>(budget.count()) * share;
    const milliseconds expected(static_cast<std::int64_t>(best_expected));
    // One request at a time is always admitted, so that its measured time corrects a wrong estimate.
    const bool has_own = best->running > 0;
    if (budget.count() > 0 && has_own && best_expected > limit) {
        const milliseconds excess(static_cast<std::int64_t>(best_expected - limit));
        return placement_refusal{refusal_reason::overloaded,
                                 std::clamp(excess, minimum_retry_after, maximum_retry_after), expected};
    }
    return placement{best->record, expected, candidates.endpoints.size(), best->slowdown, best_uncertain};
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
    update_slowdowns(now);
    auto& state = found->second;
    ticket.started_ms = state.record.started_ms;
    ticket.queue_ms = queue_ms(state, wanted, averages_of(wanted.id), work);
    ticket.round_trip_ms = round_trip_ms(state);
    ticket.is_engine = wanted.engine.has_value();
    ticket.prefill_tokens = prefill_tokens(state, work);
    ticket.tokens_ahead = state.waiting_tokens + state.peers_waiting_tokens;
    ticket.running_before = state.running + state.peers_running;
    ticket.reserved_tokens = work.prompt_tokens + work.answer_tokens;
    m_constraints.on_sent(state.record, now);
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

void load_balancer::learn_cached_share(latency_averages& times, const attempt_ticket& ticket,
                                       double waited_ms)
{
    const auto computed = waited_ms * times.uncontended_tokens_per_ms;
    const auto cached = static_cast<double>(ticket.prefill_tokens + ticket.tokens_ahead) - computed;
    const auto sample = std::clamp(cached / static_cast<double>(ticket.uncertain_tokens), 0.0, 1.0);
    times.cached_share += sample_weight * (sample - times.cached_share);
}

void load_balancer::first_event(attempt_ticket& ticket, monotonic_time now)
{
    if (ticket.first_event_at)
        return;
    ticket.first_event_at = now;
    const auto found = m_endpoints.find(ticket.endpoint);
    if (found != m_endpoints.end() && found->second.record.started_ms == ticket.started_ms) {
        found->second.waiting_tokens -= std::min(found->second.waiting_tokens, ticket.prefill_tokens);
        update_slowdowns(now);
        learn_speed(found->second, ticket, now);
        notify_load_change(found->second);
    }
    const auto tokens = static_cast<double>(ticket.prefill_tokens + ticket.tokens_ahead);
    const auto waited =
        std::chrono::duration<double, std::milli>(now - ticket.started).count() - prompt_ms(0, {});
    // Short prompts are not usable as samples of the prefill speed, because fixed costs dominate their time.
    constexpr double minimum_sample_tokens = 3'000;
    if (tokens < minimum_sample_tokens || waited <= 0)
        return;
    auto& times = m_averages[ticket.service];
    // How much of an uncertain prefix was computed is not known, so it shows nothing of the speed.
    if (ticket.uncertain_tokens > 0) {
        learn_cached_share(times, ticket, waited);
        return;
    }
    const auto sample = std::clamp(tokens / waited, minimum_tokens_per_ms, maximum_tokens_per_ms);
    // The mean of times per token: attempts whose prompt peers had put into the cache would dominate a mean
    // of speeds.
    times.tokens_per_ms = 1 / ((1 - sample_weight) / times.tokens_per_ms + sample_weight / sample);
    auto& uncontended = times.uncontended_tokens_per_ms;
    uncontended +=
        (sample > uncontended ? faster_sample_weight : slower_sample_weight) * (sample - uncontended);
}

void load_balancer::finish(attempt_ticket& ticket, attempt_result result, monotonic_time now)
{
    if (result == attempt_result::answered) {
        auto& times = m_averages[ticket.service];
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
    if (result != attempt_result::unreachable && result != attempt_result::broken &&
        result != attempt_result::silent) {
        state.consecutive_failures = 0;
        return;
    }
    ++state.consecutive_failures;
    // A single broken connection may be coincidence. A refused connection shows that the endpoint is not
    // running, and silence is the word of all its connections.
    if (result == attempt_result::broken && state.consecutive_failures < 2)
        return;
    const auto doubled = m_settings.initial_backoff * (1 << std::min(state.consecutive_failures - 1, 4U));
    state.backoff_until = now + std::min(doubled, m_settings.maximum_backoff);
}

std::vector<endpoint_load> load_balancer::own_loads() const
{
    std::vector<endpoint_load> loads;
    for (const auto& [id, state] : m_endpoints) {
        if (state.running > 0 || state.speed.expected_ms > published_evidence_ms)
            loads.push_back({id, state.running, state.waiting_tokens, state.speed});
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
