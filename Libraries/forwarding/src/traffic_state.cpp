#include "siskinwharf/forwarding/traffic_state.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace siskinwharf::forwarding {

namespace {

/// Number of past usage windows included in each message. A peer that misses all messages of this time loses
/// the counts.
constexpr usage::window_number shared_usage_windows = 4;
/// Period over which the demand of callers is averaged.
constexpr milliseconds demand_window{6'000};
/// Maximum number of crash records in one message.
constexpr std::size_t maximum_crashes_per_message = 32;

dispatch::load_balancer_settings balancer_settings_of(const process_settings& settings)
{
    dispatch::load_balancer_settings result;
    result.domain = settings.domain;
    result.region = settings.region;
    return result;
}

dispatch::quota_usage use_of(const exchange::process_state& state, const account_id& account)
{
    for (const auto& use : state.accounts) {
        if (use.account == account)
            return {static_cast<double>(use.in_window), static_cast<double>(use.per_second)};
    }
    return {};
}

} // namespace

traffic_state::traffic_state(const process_settings& settings, std::uint64_t start, usage::wall_time wall,
                             monotonic_time now)
    : m_settings(settings),
      m_started(now),
      m_balancer(balancer_settings_of(settings)),
      m_ledger(settings.instance, start),
      m_clock(wall, now),
      m_processes(1 + settings.seeds.size())
{
}

bool traffic_state::set_configuration(deployment::snapshot_content content, monotonic_time now)
{
    if (m_snapshot && content.version <= m_snapshot->version())
        return false;
    m_snapshot = std::make_shared<const deployment::snapshot>(std::move(content));
    std::erase_if(m_quotas,
                  [this](const auto& item) { return m_snapshot->find_account(item.first) == nullptr; });
    for (const auto& account : m_snapshot->content().accounts) {
        const dispatch::quota_limit limit{account.quota_per_second, account.quota_burst,
                                          m_settings.bounds.quota_window, m_settings.bounds.quota_overage,
                                          m_settings.bounds.quota_slack};
        const auto [quota, is_new] = m_quotas.try_emplace(account.id, limit, now);
        if (!is_new)
            quota->second.set_limit(limit);
    }
    return true;
}

void traffic_state::set_endpoints(const std::vector<dispatch::endpoint_record>& endpoints)
{
    m_balancer.set_endpoints(endpoints);
    m_has_endpoints = true;
}

void traffic_state::merge_peer_state(const exchange::process_state& state, monotonic_time now)
{
    m_clock.observe(state.process, state.wall, now);
    m_quarantine.merge(state.crashes, now);
}

double traffic_state::window_coverage(const std::vector<peer_view>& peers, monotonic_time now) const
{
    const auto covered = [this](nanoseconds uptime) {
        return std::min(1.0, std::chrono::duration<double>(uptime) / m_settings.bounds.quota_window);
    };
    // What a peer admitted before it restarted is known from its earlier messages.
    std::set<instance_id> restarted;
    for (const auto& peer : peers) {
        if (peer.has_ended)
            restarted.insert(peer.state->process);
    }
    double sum = covered(now - m_started);
    double processes = 1;
    for (const auto& peer : peers) {
        if (!peer.is_alive)
            continue;
        sum += restarted.contains(peer.state->process) ? 1.0 : covered(peer.state->uptime + peer.age);
        processes += 1;
    }
    return sum / processes;
}

void traffic_state::set_peers(const std::vector<peer_view>& peers, monotonic_time now)
{
    m_processes = 1;
    for (const auto& peer : peers)
        m_processes += peer.has_ended ? 0 : 1;
    std::vector<dispatch::endpoint_load> loads;
    for (const auto& peer : peers) {
        if (peer.is_alive)
            loads.insert(loads.end(), peer.state->loads.begin(), peer.state->loads.end());
    }
    m_balancer.set_peer_loads(loads);
    const auto coverage = window_coverage(peers, now);
    for (auto& [account, quota] : m_quotas) {
        std::vector<dispatch::peer_usage> uses;
        uses.reserve(peers.size());
        for (const auto& peer : peers)
            uses.push_back({peer.state == nullptr ? dispatch::quota_usage{} : use_of(*peer.state, account),
                            peer.age, peer.has_ended});
        quota.set_peer_usage(dispatch::estimate_peer_usage(quota.use(now), uses, quota.limit()), m_processes,
                             coverage, now);
    }
    m_quarantine.expire(now);
    m_ledger.forget(current_window(now));
}

double traffic_state::quota_amount(const deployment::account& account, const call& request)
{
    if (!account.counts_tokens)
        return 1;
    if (!request.has_token_counts)
        return static_cast<double>(account.default_tokens);
    return static_cast<double>(request.work.prompt_tokens + request.work.answer_tokens);
}

bool traffic_state::take_quota(const deployment::account& account, double amount, monotonic_time now)
{
    const auto found = m_quotas.find(account.id);
    return found == m_quotas.end() || found->second.try_acquire(amount, now);
}

void traffic_state::refund_quota(const deployment::account& account, double amount, monotonic_time now)
{
    if (const auto found = m_quotas.find(account.id); found != m_quotas.end())
        found->second.refund(amount, now);
}

traffic_state::service_traffic& traffic_state::traffic_of(const service_id& service)
{
    const auto& bounds = m_settings.bounds;
    const dispatch::retry_limiter_settings bound{bounds.retry_ratio, bounds.retry_window, bounds.retry_slack};
    return m_services
        .try_emplace(service,
                     service_traffic{dispatch::retry_limiter(bound), dispatch::sliding_sum(demand_window)})
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
    state.configuration_version = m_snapshot ? m_snapshot->version() : 0;
    state.loads = exchange::told_loads(m_balancer.own_loads());
    for (const auto& [account, quota] : m_quotas) {
        const auto use = quota.use(now);
        if (use.in_window > 0)
            state.accounts.push_back(
                {account, static_cast<std::uint64_t>(std::llround(use.in_window)),
                 static_cast<std::uint64_t>(std::llround(std::max(use.per_second, 0.0)))});
    }
    for (const auto& [service, traffic] : m_services)
        state.services.push_back(demand_of(service, now));
    state.crashes = m_quarantine.records(now, maximum_crashes_per_message);
}

std::vector<usage::usage_entry> traffic_state::usage_to_share(monotonic_time now) const
{
    return m_ledger.own_entries(current_window(now) - shared_usage_windows);
}

} // namespace siskinwharf::forwarding
