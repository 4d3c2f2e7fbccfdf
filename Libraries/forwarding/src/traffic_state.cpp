#include "siskinwharf/forwarding/traffic_state.h"

#include <cmath>

namespace siskinwharf::forwarding {

namespace {

/// Windows of usage that each message repeats. A peer that misses all messages of this time misses counts.
constexpr usage::window_number repeated_windows = 4;
/// Records of crashing requests in one message.
constexpr std::size_t exchanged_crashes = 32;

dispatch::board_settings board_settings_of(const process_settings& settings)
{
    dispatch::board_settings result;
    result.domain = settings.domain;
    result.region = settings.region;
    return result;
}

std::map<account_id, double> demands_of(const exchange::process_state& state)
{
    std::map<account_id, double> result;
    for (const auto& demand : state.demands)
        result[demand.account] = static_cast<double>(demand.per_second);
    return result;
}

} // namespace

traffic_state::traffic_state(const process_settings& settings, std::uint64_t start, usage::wall_time wall,
                             monotonic_time now)
    : m_settings(settings),
      m_board(board_settings_of(settings)),
      m_ledger(settings.instance, start),
      m_clock(wall, now)
{
}

bool traffic_state::set_configuration(deployment::snapshot_content content, monotonic_time now)
{
    if (m_snapshot && content.version <= m_snapshot->version())
        return false;
    m_snapshot = std::make_shared<const deployment::snapshot>(std::move(content));
    std::erase_if(m_quotas, [this](const auto& item) { return m_snapshot->find_account(item.first) == nullptr; });
    for (const auto& account : m_snapshot->content().accounts) {
        const auto [quota, is_new] =
            m_quotas.try_emplace(account.id, account.quota_per_second, account.quota_burst, now);
        if (!is_new)
            quota->second.set_limit(account.quota_per_second, account.quota_burst);
    }
    return true;
}

void traffic_state::set_endpoints(const std::vector<dispatch::endpoint_record>& endpoints)
{
    m_board.set_endpoints(endpoints);
    m_has_endpoints = true;
}

void traffic_state::merge_peer(const exchange::process_state& state, monotonic_time now)
{
    for (const auto& entry : state.usage)
        m_ledger.merge(entry);
    m_clock.observe(state.process, state.wall, now);
    m_quarantine.merge(state.crashes, now);
}

void traffic_state::set_peers(const std::vector<const exchange::process_state*>& heard,
                              const std::vector<const exchange::process_state*>& silent, monotonic_time now)
{
    m_processes = 1 + heard.size() + silent.size();
    std::vector<dispatch::endpoint_load> loads;
    for (const auto* peer : heard)
        loads.insert(loads.end(), peer->loads.begin(), peer->loads.end());
    m_board.set_peer_loads(loads);
    std::vector<std::pair<std::map<account_id, double>, bool>> demands;
    for (const auto* peer : heard)
        demands.emplace_back(demands_of(*peer), false);
    for (const auto* peer : silent)
        demands.emplace_back(demands_of(*peer), true);
    for (auto& [account, quota] : m_quotas) {
        std::vector<dispatch::peer_demand> peers;
        for (const auto& [demand, is_silent] : demands) {
            const auto found = demand.find(account);
            peers.push_back({found == demand.end() ? 0.0 : found->second, is_silent});
        }
        quota.set_share(dispatch::quota_share(quota.demand(now), peers), now);
    }
    m_quarantine.expire(now);
    m_ledger.forget(current_window(now));
}

double traffic_state::quota_amount(const deployment::account& account, const call& request)
{
    if (!account.counts_tokens)
        return 1;
    if (!request.names_tokens)
        return static_cast<double>(account.default_tokens);
    return static_cast<double>(request.work.prompt_tokens + request.work.answer_tokens);
}

bool traffic_state::take_quota(const deployment::account& account, double amount, monotonic_time now)
{
    const auto found = m_quotas.find(account.id);
    return found == m_quotas.end() || found->second.try_take(amount, now);
}

void traffic_state::give_back_quota(const deployment::account& account, double amount)
{
    if (const auto found = m_quotas.find(account.id); found != m_quotas.end())
        found->second.give_back(amount);
}

traffic_state::service_traffic& traffic_state::traffic_of(const service_id& service, monotonic_time now)
{
    const auto& bounds = m_settings.bounds;
    const dispatch::retry_bound bound{bounds.retry_ratio, bounds.retry_window, bounds.retry_slack};
    return m_services
        .try_emplace(service, service_traffic{dispatch::retry_allowance(bound), dispatch::account_quota(0, 0, now)})
        .first->second;
}

void traffic_state::count_request(const service_id& service, const dispatch::workload& work, monotonic_time now)
{
    auto& traffic = traffic_of(service, now);
    traffic.allowance.on_first_request(now);
    static_cast<void>(traffic.tokens.try_take(static_cast<double>(work.prompt_tokens), now));
}

bool traffic_state::try_repeat(const service_id& service, monotonic_time now)
{
    return traffic_of(service, now).allowance.try_repeat(m_processes, now);
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
        result.tokens_per_second = static_cast<std::uint64_t>(std::llround(found->second.tokens.demand(now)));
    for (const auto& [id, state] : m_board.endpoints()) {
        if (state.record.service == service)
            result.running += state.running;
    }
    return result;
}

void traffic_state::describe(exchange::process_state& state, monotonic_time now) const
{
    state.wall = m_clock.uncorrected(now);
    state.configuration_version = m_snapshot ? m_snapshot->version() : 0;
    state.loads = m_board.own_loads();
    for (const auto& [account, quota] : m_quotas) {
        const auto demand = std::llround(quota.demand(now));
        if (demand > 0)
            state.demands.push_back({account, static_cast<std::uint64_t>(demand)});
    }
    state.usage = m_ledger.own_entries(current_window(now) - repeated_windows);
    for (const auto& [service, traffic] : m_services)
        state.services.push_back(demand_of(service, now));
    state.crashes = m_quarantine.records(now, exchanged_crashes);
}

} // namespace siskinwharf::forwarding
