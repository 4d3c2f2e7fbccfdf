#include "siskinwharf/forwarding/traffic_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::forwarding {

namespace {

/// Number of past usage windows included in each message. A peer that misses all messages of this time loses
/// the counts.
constexpr usage::window_number shared_usage_windows = 4;
/// Period over which the demand of callers is averaged.
constexpr milliseconds demand_window{6'000};
/// Time for which new records of crashes go with each message: a round of messages to 200 peers.
constexpr milliseconds crash_news_time{5'000};
/// Bounds of the time for which streams are taken up.
constexpr milliseconds minimum_stream_lifetime{30'000};
constexpr int timeouts_per_stream = 2;
/// Maximum number of crash records that are sent with each state.
constexpr std::size_t maximum_crashes_to_share = 32;

dispatch::load_balancer_settings balancer_settings_of(const process_settings& settings)
{
    dispatch::load_balancer_settings result;
    result.process = settings.instance;
    result.domain = settings.domain;
    result.region = settings.region;
    return result;
}

/// The rest of the memory is for the process itself, its state, the buffers of the system, which count
/// towards the limit, and what the allocator cannot reuse.
constexpr std::uint64_t memory_budget_divisor = 2;

/// Peers that are alive and stay.
std::vector<dispatch::sending_process> senders_of(const deployment_view& view)
{
    std::vector<dispatch::sending_process> result;
    for (const auto& peer : view.peers) {
        if (peer.is_alive && !peer.has_ended && !peer.state->is_leaving)
            result.push_back({peer.state->process, peer.state->domain});
    }
    return result;
}

/// Longest time from the begin of a stream until it is taken up for the last time: a caller may take it up
/// until its own deadline, which is not known here and exceeds the timeout of the route.
milliseconds stream_lifetime(const deployment::snapshot_content& content)
{
    auto longest = minimum_stream_lifetime;
    for (const auto& route : content.routes) {
        if (route.kind == deployment::request_kind::stream)
            longest = std::max(longest, route.timeout * timeouts_per_stream);
    }
    return longest;
}

void log_limit(const dispatch::endpoint_limit& limit, std::string_view source)
{
    log_event(event::endpoint_limited,
              {{"endpoint", limit.endpoint.value()},
               {"limit_per_second", limit.per_second ? fmt::format("{:.2f}", *limit.per_second) : "none"},
               {"source", std::string(source)},
               {"age_ms", std::to_string(limit.age.count())}});
}

void log_leaving(const endpoint_id& endpoint, std::string_view source)
{
    log_event(event::endpoint_leaving_stated,
              {{"endpoint", endpoint.value()}, {"source", std::string(source)}, {"until", "restart"}});
}

void log_part_event(const event_kind& kind, const std::vector<admission::prompt_part_id>& parts,
                    std::string_view source)
{
    for (const auto part : parts)
        log_event(kind, {{"part", dispatch::to_string({{part, 0}})}, {"source", std::string(source)}});
}

} // namespace

traffic_state::traffic_state(const process_settings& settings, std::uint64_t start, usage::wall_time wall,
                             monotonic_time now)
    : m_settings(settings),
      m_started(now),
      m_balancer(balancer_settings_of(settings)),
      m_quotas(settings.bounds, now),
      m_ledger(settings.instance, start),
      m_clock(wall, now),
      m_software(now),
      m_processes(1 + settings.seeds.size()),
      m_memory(std::make_shared<memory_budget>(settings.memory_bytes / memory_budget_divisor))
{
}

std::string_view to_string(configuration_source source)
{
    return source == configuration_source::store ? "store" : "peer";
}

void traffic_state::set_configuration(deployment::snapshot_content content, monotonic_time now,
                                      configuration_source source)
{
    m_configuration_origin = {source, now};
    m_snapshot = std::make_shared<const deployment::snapshot>(std::move(content));
    m_quotas.set_accounts(m_snapshot->content().accounts, now);
    m_software.set_stream_lifetime(stream_lifetime(m_snapshot->content()));
}

void traffic_state::set_endpoints(const std::vector<dispatch::endpoint_record>& endpoints, monotonic_time now)
{
    m_software.observe(endpoints, now);
    m_balancer.set_endpoints(endpoints);
    m_has_endpoints = true;
    m_endpoints_set = now;
}

milliseconds traffic_state::endpoints_age(monotonic_time now) const
{
    return std::chrono::duration_cast<milliseconds>(now - m_endpoints_set);
}

void traffic_state::merge_peer_state(const exchange::process_state& state, monotonic_time now)
{
    m_clock.observe(state.process, state.wall, now);
}

void traffic_state::set_peers(const deployment_view& view, monotonic_time now)
{
    m_processes = 1;
    std::vector<dispatch::endpoint_load> loads;
    for (const auto& peer : view.peers) {
        m_processes += peer.has_ended ? 0 : 1;
        if (peer.is_alive)
            loads.insert(loads.end(), peer.state->loads.begin(), peer.state->loads.end());
    }
    m_balancer.update_slowdowns(now);
    m_balancer.set_peer_loads(loads);
    m_balancer.constraints().set_processes(senders_of(view));
    log_ended_constraints(now);
    m_quotas.set_peers(view, now);
    log_isolation(now);
    m_quarantine.expire(now);
    m_parts.expire(now);
    m_streams.expire(m_software, now);
    m_ledger.forget(current_window(now));
}

void traffic_state::log_isolation(monotonic_time now)
{
    const bool is_isolated = m_quotas.is_isolated(now);
    if (std::exchange(m_is_isolated, is_isolated) == is_isolated)
        return;
    const auto& kind = is_isolated ? event::registration_lapsed : event::registration_regained;
    log_event(kind, {{"processes", std::to_string(m_processes)}});
}

double traffic_state::quota_amount(const deployment::account& account, const call& request)
{
    if (!account.counts_tokens)
        return 1;
    if (!request.has_token_counts)
        return static_cast<double>(account.default_tokens);
    return static_cast<double>(request.work.prompt_tokens + request.work.answer_tokens);
}

bool traffic_state::take_quota(const deployment::account& account, double amount, double draw,
                               monotonic_time now)
{
    return m_quotas.take(account.id, amount, draw, now);
}

void traffic_state::refund_quota(const deployment::account& account, double amount, monotonic_time now)
{
    m_quotas.refund(account.id, amount, now);
}

traffic_state::service_traffic& traffic_state::traffic_of(const service_id& service)
{
    const auto& bounds = m_settings.bounds;
    const dispatch::retry_limiter_settings bound{bounds.retry_ratio, bounds.retry_window, bounds.retry_slack};
    return m_services
        .try_emplace(
            service,
            service_traffic{dispatch::retry_limiter(bound), dispatch::sliding_sum(demand_window), {}})
        .first->second;
}

void traffic_state::count_request(const service_id& service, monotonic_time now)
{
    traffic_of(service).allowance.on_first_request(now);
}

void traffic_state::count_prompt_tokens(const service_id& service, std::uint64_t tokens, monotonic_time now)
{
    traffic_of(service).tokens.add(static_cast<double>(tokens), now);
}

bool traffic_state::try_repeat(const service_id& service, monotonic_time now)
{
    return traffic_of(service).allowance.try_repeat(m_processes, now);
}

void traffic_state::count_run(const account_id& account, monotonic_time now)
{
    m_ledger.add(account, current_window(now));
}

dispatch::answer_pace& traffic_state::pace(const service_id& service)
{
    return traffic_of(service).pace;
}

admission::content_status traffic_state::count_crash(const admission::content_key& content,
                                                     admission::crash_id crash, monotonic_time now)
{
    m_crash_news = now;
    return m_quarantine.on_crash(content, crash, now);
}

bool traffic_state::has_crash_news(monotonic_time now) const
{
    return m_crash_news && now - *m_crash_news < crash_news_time;
}

void traffic_state::count_part_crash(const std::vector<admission::prompt_part_id>& shared,
                                     admission::crash_id crash, monotonic_time now)
{
    log_part_event(event::part_quarantined, m_parts.on_crash(shared, crash, now), "own");
}

void traffic_state::count_part_answer(const std::vector<admission::prompt_part_id>& shared,
                                      monotonic_time now)
{
    const auto released = m_parts.on_answered(shared, now);
    if (!released.empty())
        m_crash_news = now;
    log_part_event(event::part_released, released, "own");
}

void traffic_state::merge_part_crashes(const std::vector<admission::part_crash_record>& records,
                                       monotonic_time now)
{
    const auto quarantined = m_parts.merge(records, now);
    if (!quarantined.empty())
        m_crash_news = now;
    log_part_event(event::part_quarantined, quarantined, "peer");
}

void traffic_state::observe_statement(const dispatch::endpoint_record& endpoint,
                                      const dispatch::endpoint_statement& stated, monotonic_time now)
{
    // A response may end after its endpoint has restarted.
    const auto* listed = m_balancer.find(endpoint.id);
    if (listed != nullptr && listed->record.started_ms != endpoint.started_ms)
        return;
    const auto news = m_balancer.constraints().observe(endpoint, stated, now);
    if (news.is_limit_new)
        log_limit({endpoint.id, endpoint.started_ms, stated.requests_per_second, milliseconds(0)}, "own");
    if (news.is_leaving_new)
        log_leaving(endpoint.id, "own");
    if (news.pause)
        log_event(event::endpoint_paused, {{"endpoint", endpoint.id.value()},
                                           {"source", "own"},
                                           {"named_ms", std::to_string(stated.pause->count())},
                                           {"ends_in_ms", std::to_string(news.pause->count())}});
}

void traffic_state::log_ended_constraints(monotonic_time now)
{
    for (const auto& ended : m_balancer.constraints().take_ended(now)) {
        const auto held = std::chrono::duration_cast<milliseconds>(now - ended.since);
        log_event(event::endpoint_constraint_ended, {{"endpoint", ended.endpoint.value()},
                                                     {"constraint", std::string(to_string(ended.kind))},
                                                     {"reason", std::string(to_string(ended.reason))},
                                                     {"held_ms", std::to_string(held.count())}});
    }
}

void traffic_state::merge_endpoint_limits(const std::vector<dispatch::endpoint_limit>& limits,
                                          monotonic_time now)
{
    for (const auto& limit : m_balancer.merge_limits(limits, now)) {
        if (limit.is_leaving)
            log_leaving(limit.endpoint, "peer");
        else
            log_limit(limit, "peer");
    }
}

usage::window_number traffic_state::current_window(monotonic_time now) const
{
    return m_clock.now(now).time_since_epoch() / m_settings.bounds.usage_window;
}

exchange::service_demand traffic_state::demand_of(const service_id& service, monotonic_time now) const
{
    exchange::service_demand result{service, 0, 0};
    if (const auto found = m_services.find(service); found != m_services.end())
        result.tokens_per_second =
            static_cast<std::uint64_t>(std::llround(found->second.tokens.per_second(demand_window, now)));
    for (const auto& [id, state] : m_balancer.endpoints()) {
        if (state.record.service == service)
            result.running += state.running;
    }
    return result;
}

void traffic_state::fill_message(exchange::process_state& state, monotonic_time now) const
{
    state.uptime = std::chrono::duration_cast<milliseconds>(now - m_started);
    state.wall = m_clock.uncorrected(now);
    state.loads = exchange::select_loads(m_balancer.own_loads());
    state.accounts = m_quotas.own_use(now);
    state.services = demands(now);
}

std::vector<admission::quarantine_record> traffic_state::crashes_to_share(monotonic_time now) const
{
    return m_quarantine.records(now, maximum_crashes_to_share);
}

std::vector<usage::usage_entry> traffic_state::usage_to_share(monotonic_time now) const
{
    return m_ledger.own_entries(current_window(now) - shared_usage_windows);
}

std::vector<usage::usage_entry> traffic_state::domain_usage_to_share(monotonic_time now) const
{
    return m_ledger.domain_entries(current_window(now) - shared_usage_windows);
}

std::vector<exchange::service_demand> traffic_state::demands(monotonic_time now) const
{
    std::vector<exchange::service_demand> result;
    for (const auto& [service, traffic] : m_services)
        result.push_back(demand_of(service, now));
    return result;
}

} // namespace siskinwharf::forwarding
