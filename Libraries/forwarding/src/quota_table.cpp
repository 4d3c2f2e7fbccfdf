#include "siskinwharf/forwarding/quota_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace siskinwharf::forwarding {

namespace {

/// Without news of the peers for this time, any of them may be silent: this process was stopped meanwhile.
constexpr milliseconds peers_outdated_after{2'500};
/// A process that could not register for this time counts as one whose registration has ended.
constexpr milliseconds first_registration_time{30'000};
/// Time by which a registration ends earlier for its process than for others, besides the window of a quota:
/// the answers that tell the store's time take some.
constexpr milliseconds registration_margin{2'000};

std::uint64_t rounded(double amount)
{
    return static_cast<std::uint64_t>(std::llround(std::max(amount, 0.0)));
}

exchange::account_use to_account_use(const account_id& account, const dispatch::quota_usage& use,
                                     nanoseconds age = {})
{
    return {account, rounded(use.in_window), rounded(use.per_second), rounded(use.asked_per_second),
            std::chrono::duration_cast<milliseconds>(age)};
}

dispatch::quota_usage to_usage(const exchange::account_use& use)
{
    return {static_cast<double>(use.in_window), static_cast<double>(use.per_second),
            static_cast<double>(use.asked_per_second)};
}

dispatch::quota_usage sum(const dispatch::quota_usage& left, const dispatch::quota_usage& right)
{
    return {left.in_window + right.in_window, left.per_second + right.per_second,
            left.asked_per_second + right.asked_per_second};
}

} // namespace

void quota_table::set_accounts(const std::vector<deployment::account>& accounts, monotonic_time now)
{
    std::erase_if(m_quotas, [&](const auto& item) {
        return std::ranges::find(accounts, item.first, &deployment::account::id) == accounts.end();
    });
    for (const auto& account : accounts) {
        const dispatch::quota_limit limit{account.quota_per_second, account.quota_burst,
                                          m_bounds.quota_window, m_bounds.quota_overage,
                                          m_bounds.quota_slack};
        const auto [quota, is_new] = m_quotas.try_emplace(account.id, limit, now);
        if (!is_new)
            quota->second.set_limit(limit);
    }
}

std::map<account_id, quota_table::account_reports> quota_table::reports_of(const deployment_view& view) const
{
    // A peer that names no use of an account has used nothing, and counts for the average.
    account_reports unused;
    for (const auto& peer : view.peers) {
        if (!peer.is_summed)
            unused.peers.push_back({{}, peer.age, peer.has_ended});
    }
    for (const auto& summary : view.summaries)
        unused.summaries.push_back({{}, summary.age, false, summary.processes});
    std::map<account_id, account_reports> result;
    for (const auto& [account, quota] : m_quotas)
        result.emplace(account, unused);
    std::size_t index = 0;
    for (const auto& peer : view.peers) {
        if (peer.is_summed)
            continue;
        if (peer.state != nullptr) {
            for (const auto& use : peer.state->accounts) {
                if (const auto found = result.find(use.account); found != result.end())
                    found->second.peers[index].use = to_usage(use);
            }
        }
        ++index;
    }
    for (index = 0; index < view.summaries.size(); ++index) {
        for (const auto& use : *view.summaries[index].accounts) {
            const auto found = result.find(use.account);
            if (found == result.end())
                continue;
            found->second.summaries[index].use = to_usage(use);
            found->second.summaries[index].age += use.age;
        }
    }
    return result;
}

void quota_table::set_coverage(const deployment_view& view, monotonic_time now)
{
    const auto covered = [this](nanoseconds uptime) {
        return std::min(1.0, std::chrono::duration<double>(uptime) / m_bounds.quota_window);
    };
    // What a peer admitted before it restarted is known from its earlier messages.
    std::set<instance_id> restarted;
    for (const auto& peer : view.peers) {
        if (peer.has_ended)
            restarted.insert(peer.state->process);
    }
    double total = covered(now - m_started);
    double processes = 1;
    for (const auto& peer : view.peers) {
        if (!peer.is_alive || peer.is_summed)
            continue;
        total += restarted.contains(peer.state->process) ? 1.0 : covered(peer.state->uptime + peer.age);
        processes += 1;
    }
    m_domain_coverage = total / processes;
    for (const auto& summary : view.summaries) {
        total += summary.coverage * summary.processes;
        processes += summary.processes;
    }
    m_coverage = total / processes;
}

void quota_table::set_peers(const deployment_view& view, monotonic_time now)
{
    set_coverage(view, now);
    m_peers_at = now;
    m_has_silent_peer =
        std::ranges::any_of(view.peers, [](const auto& peer) { return !peer.is_alive && !peer.has_ended; });
    m_processes = 1 + static_cast<std::size_t>(std::ranges::count_if(
                          view.peers, [](const auto& peer) { return !peer.has_ended; }));
    auto reports = reports_of(view);
    m_sums.clear();
    for (auto& [account, quota] : m_quotas) {
        auto& known = reports.at(account);
        const auto own = quota.use(now);
        auto& sums = m_sums[account];
        sums.domain = sum(own, dispatch::estimate_peer_usage(own, known.peers, quota.limit()));
        known.peers.insert(known.peers.end(), known.summaries.begin(), known.summaries.end());
        const auto others = dispatch::estimate_peer_usage(own, known.peers, quota.limit());
        sums.all = sum(own, others);
        quota.set_processes(m_processes);
        quota.set_peer_usage(others, m_coverage, now);
    }
}

bool quota_table::is_isolated(monotonic_time now) const
{
    // What was admitted before must have left the window when others take up the share of this process.
    const auto margin = m_bounds.quota_window + registration_margin;
    if (now + margin <= m_registered_until.value_or(m_started + first_registration_time))
        return false;
    return m_has_silent_peer || now - m_peers_at > peers_outdated_after;
}

bool quota_table::take(const account_id& account, double amount, double draw, monotonic_time now)
{
    const auto found = m_quotas.find(account);
    if (found == m_quotas.end())
        return true;
    found->second.set_isolated(is_isolated(now) ? m_processes : 0);
    return found->second.try_acquire(amount, draw, now);
}

void quota_table::refund(const account_id& account, double amount, monotonic_time now)
{
    if (const auto found = m_quotas.find(account); found != m_quotas.end())
        found->second.refund(amount, now);
}

milliseconds quota_table::retry_after(const account_id& account, double amount, double draw,
                                      monotonic_time now) const
{
    const auto found = m_quotas.find(account);
    return found == m_quotas.end() ? milliseconds(0) : found->second.retry_after(amount, draw, now);
}

dispatch::quota_balance quota_table::balance(const account_id& account, monotonic_time now) const
{
    const auto found = m_quotas.find(account);
    return found == m_quotas.end() ? dispatch::quota_balance{} : found->second.balance(now);
}

std::vector<exchange::account_use> quota_table::own_use(monotonic_time now) const
{
    std::vector<exchange::account_use> result;
    for (const auto& [account, quota] : m_quotas) {
        if (const auto use = quota.use(now); use.in_window > 0 || use.asked_per_second > 0)
            result.push_back(to_account_use(account, use));
    }
    return result;
}

bool quota_table::is_selected(const account_id& account, account_selection selection,
                              monotonic_time now) const
{
    if (selection == account_selection::all)
        return true;
    const auto found = m_quotas.find(account);
    return found != m_quotas.end() && found->second.is_near_limit(now);
}

std::vector<exchange::account_use> quota_table::domain_use(account_selection selection,
                                                           monotonic_time now) const
{
    std::vector<exchange::account_use> result;
    for (const auto& [account, sums] : m_sums) {
        if (is_selected(account, selection, now))
            result.push_back(to_account_use(account, sums.domain, now - m_peers_at));
    }
    return result;
}

std::vector<exchange::account_use>
quota_table::use_without(const peer_view& receiver, account_selection selection, monotonic_time now) const
{
    std::vector<exchange::account_use> result;
    for (const auto& [account, sums] : m_sums) {
        if (!is_selected(account, selection, now))
            continue;
        auto others = sums.all;
        const auto& uses = receiver.state->accounts;
        if (const auto use = std::ranges::find(uses, account, &exchange::account_use::account);
            use != uses.end()) {
            const auto own = to_usage(*use);
            others.in_window -= own.in_window;
            others.per_second -= own.per_second;
            others.asked_per_second -= own.asked_per_second;
        }
        result.push_back(to_account_use(account, others, now - m_peers_at));
    }
    return result;
}

} // namespace siskinwharf::forwarding
