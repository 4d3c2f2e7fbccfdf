#include "siskinwharf/forwarding/peer_table.h"

#include <algorithm>
#include <chrono>

#include "peer_table_times.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::forwarding {

namespace {

/// Minimum interval between state messages to a peer of the same region.
constexpr milliseconds minimum_interval{250};
/// With more peers than this the interval grows in proportion, so that the message rate of a process stays
/// constant.
constexpr std::size_t peers_at_minimum_interval = 12;
/// A peer that has sent no message for this time may be dead or partitioned.
constexpr milliseconds suspect_after{2'500};
/// Like `dead_after`, for a peer that was registered and is not any more. Longer than the window of a quota,
/// so that what the peer has used of it counts to the end.
constexpr milliseconds unregistered_after{10'000};
/// With more peers than this the failure domains have relays.
constexpr std::size_t maximum_peers_without_relays = 24;
/// Relays of a failure domain. With two, a failure of one that is not detected at once causes no gap.
constexpr std::size_t relays_per_domain = 2;

/// Whether a message is a repetition of the stored one, or older.
template<typename Message>
bool is_older(const Message& message, const Message& stored)
{
    return stored.start == message.start && stored.sequence >= message.sequence;
}

/// Replaces the use of the accounts that an update names in the last report of its sender. Their ages count
/// from the arrival of that report.
template<typename ReceivedReport>
void merge_use(std::map<instance_id, ReceivedReport>& reports, const exchange::use_update& update,
               monotonic_time now)
{
    const auto known = reports.find(update.process);
    if (known == reports.end() || known->second.report.start != update.start ||
        known->second.report.sequence >= update.sequence)
        return;
    known->second.report.sequence = update.sequence;
    auto& accounts = known->second.report.accounts;
    for (auto use : update.accounts) {
        use.age -= elapsed(known->second.heard, now);
        const auto found = std::ranges::find(accounts, use.account, &exchange::account_use::account);
        if (found == accounts.end())
            accounts.push_back(use);
        else
            *found = use;
    }
}

} // namespace

std::vector<registered_process> peer_table::set_registrations(const std::vector<process_registration>& read,
                                                              monotonic_time now)
{
    m_registrations.replace(read, now);
    std::vector<registered_process> added;
    for (auto& process : m_registrations.valid()) {
        if (process.id == m_settings.instance)
            continue;
        auto& entry = m_peers[process.id];
        const bool is_new = entry.address.port == 0;
        if (is_new)
            entry.listed = now;
        entry.address = {process.ip, process.port};
        entry.listed_domain = process.domain;
        entry.was_registered = true;
        if (is_new)
            added.push_back(std::move(process));
    }
    for (auto& [id, entry] : m_peers)
        entry.is_registered = m_registrations.is_valid(id);
    return added;
}

std::optional<monotonic_time> peer_table::next_expiry(monotonic_time now) const
{
    std::optional<monotonic_time> first;
    for (const auto& [id, entry] : m_peers) {
        const auto expiry = m_registrations.expiry(id);
        if (!expiry || condition_of(entry, now) == condition::alive)
            continue;
        first = std::min(first.value_or(*expiry), *expiry);
    }
    return first;
}

std::optional<std::vector<dispatch::endpoint_load>>
peer_table::take(exchange::process_state state, const std::string& ip, monotonic_time now)
{
    if (state.process == m_settings.instance)
        return std::nullopt;
    auto& entry = m_peers[state.process];
    if (entry.state && is_older(state, *entry.state))
        return std::nullopt;
    if (entry.state && entry.state->start != state.start) {
        entry.previous = std::move(entry.state);
        entry.previous_heard = entry.last_heard;
        entry.state.reset();
        entry.has_relayed = false;
    }
    std::vector<dispatch::endpoint_load> before;
    if (entry.state)
        before = std::move(entry.state->loads);
    entry.address = {ip, state.port};
    entry.last_heard = now;
    entry.last_contact = now;
    entry.state = std::move(state);
    return before;
}

peer_table::peer* peer_table::take(const exchange::near_update& update, monotonic_time now)
{
    const auto found = m_peers.find(update.process);
    if (found == m_peers.end() || !found->second.state || found->second.state->start != update.start)
        return nullptr;
    auto& entry = found->second;
    entry.last_contact = now;
    entry.is_reading = update.is_reading;
    entry.store_answered = now - update.store_answer_age;
    return &entry;
}

void peer_table::take(const exchange::domain_report& report, const std::string& ip, monotonic_time now)
{
    if (report.domain == m_settings.domain)
        return;
    auto& known = m_domain_reports[report.process];
    if (known.heard != monotonic_time{} && is_older(report, known.report))
        return;
    known = {report, {ip, report.port}, now};
}

void peer_table::take(const exchange::deployment_report& report, monotonic_time now)
{
    const auto sender = m_peers.find(report.process);
    if (sender == m_peers.end() || !is_in_domain(sender->second))
        return;
    auto& known = m_deployment_reports[report.process];
    if (known.heard != monotonic_time{} && is_older(report, known.report))
        return;
    known = {report, now};
    sender->second.last_contact = now;
    sender->second.has_relayed = true;
}

void peer_table::take(const exchange::use_update& update, monotonic_time now)
{
    if (!update.domain.empty()) {
        merge_use(m_domain_reports, update, now);
        return;
    }
    merge_use(m_deployment_reports, update, now);
}

bool peer_table::accepts(const exchange::usage_update& update) const
{
    if (update.process == m_settings.instance)
        return false;
    if (!update.domain.empty())
        return uses_relays() && update.domain != m_settings.domain;
    const auto sender = m_peers.find(update.process);
    return !uses_relays() || (sender != m_peers.end() && is_in_domain(sender->second));
}

std::vector<instance_id> peer_table::remove_dead(monotonic_time now)
{
    std::vector<instance_id> removed;
    std::erase_if(m_peers, [&](const auto& item) {
        if (condition_of(item.second, now) != condition::dead)
            return false;
        if (has_left(item.second, now))
            m_registrations.forget(item.first, item.second.state->start);
        removed.push_back(item.first);
        return true;
    });
    const auto is_outdated = [&](const auto& item) {
        return now - item.second.heard > dead_after;
    };
    std::erase_if(m_domain_reports, [&](const auto& item) {
        return is_outdated(item) ||
               (now - item.second.heard > relay_timeout && !has_staying_peer(item.second.report.domain, now));
    });
    std::erase_if(m_deployment_reports, is_outdated);
    return removed;
}

milliseconds peer_table::interval() const
{
    const auto count = std::max(m_peers.size(), peers_at_minimum_interval);
    return minimum_interval * static_cast<std::int64_t>(count) /
           static_cast<std::int64_t>(peers_at_minimum_interval);
}

peer_table::condition peer_table::condition_of(const peer& entry, monotonic_time now) const
{
    const auto silence = now - std::max(entry.last_heard, entry.listed);
    if (entry.state && entry.state->is_leaving) {
        // What it has used of quotas counts to the end of their window.
        if (silence > std::max(suspect_after, m_settings.bounds.quota_window))
            return condition::dead;
    } else if (!entry.is_registered && m_registrations.read_at() >= entry.last_heard) {
        const auto limit = entry.was_registered ? unregistered_after : dead_after;
        if (!entry.state || silence > limit)
            return condition::dead;
    }
    const auto limit = std::max<nanoseconds>(suspect_after, interval() * 8);
    return entry.state && now - entry.last_heard <= limit ? condition::alive : condition::suspected;
}

bool peer_table::is_near(const peer& entry) const
{
    if (!entry.state)
        return false;
    const auto region = m_settings.regions.find(entry.state->domain);
    return region == m_settings.regions.end() || region->second == m_settings.region;
}

bool peer_table::is_in_domain(const peer& entry) const
{
    return entry.state && entry.state->domain == m_settings.domain;
}

const failure_domain_id& peer_table::domain_of(const peer& entry)
{
    return entry.state ? entry.state->domain : entry.listed_domain;
}

bool peer_table::has_left(const peer& entry, monotonic_time now)
{
    return entry.state && entry.state->is_leaving && now - entry.last_heard > suspect_after;
}

bool peer_table::has_staying_peer(const failure_domain_id& domain, monotonic_time now) const
{
    return std::ranges::any_of(m_peers, [&](const auto& item) {
        return domain_of(item.second) == domain && !has_left(item.second, now);
    });
}

bool peer_table::uses_relays() const
{
    return m_peers.size() > maximum_peers_without_relays;
}

bool peer_table::is_relay_candidate(const peer& entry, monotonic_time now) const
{
    const bool is_silent_relay = entry.has_relayed && now - entry.last_contact > relay_timeout;
    return is_in_domain(entry) && !entry.state->is_leaving && !is_silent_relay &&
           condition_of(entry, now) == condition::alive;
}

bool peer_table::is_relay(monotonic_time now) const
{
    if (!uses_relays())
        return false;
    // The holder of the lease needs the sums of all failure domains for its duties.
    if (m_lease_number != 0)
        return true;
    const auto own_rank = hash64(m_settings.instance.value());
    const auto before = std::ranges::count_if(m_peers, [&](const auto& item) {
        return is_relay_candidate(item.second, now) && hash64(item.first.value()) < own_rank;
    });
    return static_cast<std::size_t>(before) < relays_per_domain;
}

std::vector<settings::socket_address> peer_table::relays(monotonic_time now) const
{
    std::map<std::uint64_t, const peer*> ranked;
    std::vector<settings::socket_address> result;
    for (const auto& [id, entry] : m_peers) {
        if (!is_relay_candidate(entry, now))
            continue;
        if (entry.state->lease_number != 0)
            result.push_back(entry.address);
        else
            ranked.emplace(hash64(id.value()), &entry);
    }
    for (const auto& [rank, entry] : ranked) {
        if (result.size() < relays_per_domain)
            result.push_back(entry->address);
    }
    return result;
}

std::vector<settings::socket_address> peer_table::relays_of_other_domains(monotonic_time now) const
{
    std::vector<settings::socket_address> result;
    std::map<failure_domain_id, std::size_t> heard;
    std::map<failure_domain_id, std::multimap<monotonic_time, const received_domain_report*>> silent;
    for (const auto& [id, entry] : m_domain_reports) {
        if (now - entry.heard > relay_timeout) {
            silent[entry.report.domain].emplace(entry.heard, &entry);
            continue;
        }
        result.push_back(entry.address);
        ++heard[entry.report.domain];
    }
    std::map<failure_domain_id, std::map<std::uint64_t, const peer*>> ranked;
    for (const auto& [id, entry] : m_peers) {
        if (entry.state && !is_in_domain(entry) && !entry.state->is_leaving &&
            !m_domain_reports.contains(id) && condition_of(entry, now) != condition::dead)
            ranked[entry.state->domain].emplace(hash64(id.value()), &entry);
    }
    // Relays that are silent may only have heard nothing from this process. They are told first, and besides
    // them the processes that would replace them.
    for (const auto& [domain, entries] : silent) {
        auto count = heard[domain];
        for (auto next = entries.rbegin(); next != entries.rend() && count < relays_per_domain;
             ++next, ++count)
            result.push_back(next->second->address);
    }
    for (const auto& [domain, peers] : ranked) {
        auto count = heard[domain];
        for (auto next = peers.begin(); next != peers.end() && count < relays_per_domain; ++next, ++count)
            result.push_back(next->second->address);
    }
    return result;
}

std::vector<const peer_table::peer*> peer_table::domain_peers() const
{
    std::vector<const peer*> result;
    for (const auto& [id, entry] : m_peers) {
        if (is_in_domain(entry))
            result.push_back(&entry);
    }
    return result;
}

std::vector<settings::socket_address> peer_table::stream_listeners() const
{
    std::vector<settings::socket_address> result;
    for (const auto& [id, entry] : m_peers) {
        if (!uses_relays() || is_in_domain(entry))
            result.push_back(entry.address);
    }
    return result;
}

std::vector<settings::socket_address> peer_table::stream_keepers(monotonic_time now) const
{
    // Differs between processes, so that no peer keeps the copies of all of them.
    const auto own_hash = hash64(m_settings.instance.value());
    const auto rank = [&](const settings::socket_address& address) {
        return combine64(own_hash, combine64(hash64(address.ip), address.port));
    };
    std::vector<settings::socket_address> own_domain;
    std::vector<settings::socket_address> other_domains;
    for (const auto& [id, entry] : m_peers) {
        if (entry.state && !entry.state->is_leaving && condition_of(entry, now) == condition::alive)
            (is_in_domain(entry) ? own_domain : other_domains).push_back(entry.address);
    }
    // With relays, these are the ones that a process of another failure domain asks.
    if (uses_relays())
        other_domains = relays_of_other_domains(now);
    std::vector<settings::socket_address> result;
    for (const auto& group : {own_domain, other_domains}) {
        if (const auto best = std::ranges::max_element(group, {}, rank); best != group.end())
            result.push_back(*best);
    }
    return result;
}

std::vector<settings::socket_address> peer_table::stream_sources(monotonic_time now) const
{
    auto result = stream_listeners();
    if (uses_relays()) {
        const auto others = relays_of_other_domains(now);
        result.insert(result.end(), others.begin(), others.end());
    }
    return result;
}

std::map<failure_domain_id, const peer_table::received_domain_report*> peer_table::newest_reports() const
{
    std::map<failure_domain_id, const received_domain_report*> result;
    if (!uses_relays())
        return result;
    for (const auto& [id, entry] : m_domain_reports) {
        auto& newest = result[entry.report.domain];
        if (newest == nullptr || entry.heard > newest->heard)
            newest = &entry;
    }
    return result;
}

const peer_table::received_deployment_report* peer_table::newest_deployment_report() const
{
    const received_deployment_report* newest = nullptr;
    for (const auto& [id, entry] : m_deployment_reports) {
        if (newest == nullptr || entry.heard > newest->heard)
            newest = &entry;
    }
    return newest;
}

deployment_view peer_table::view(monotonic_time now) const
{
    deployment_view result;
    const bool is_relaying = is_relay(now);
    const auto* deployment = uses_relays() && !is_relaying ? newest_deployment_report() : nullptr;
    const auto reports = newest_reports();
    for (const auto& [id, entry] : m_peers) {
        const auto state = condition_of(entry, now);
        if (state == condition::dead)
            continue;
        // A failure domain of which no relay is heard may be cut off and go on using quotas.
        const bool is_summed = deployment != nullptr || (is_relaying && reports.contains(domain_of(entry)));
        const auto age = elapsed(std::max(entry.last_heard, entry.listed), now);
        result.peers.push_back({entry.state ? &*entry.state : nullptr, age, state == condition::alive,
                                has_left(entry, now), is_summed});
        if (entry.previous)
            result.peers.push_back(
                {&*entry.previous, elapsed(entry.previous_heard, now), false, true, is_summed});
    }
    const auto add = [&](const auto& received) {
        result.summaries.push_back({&received.report.accounts, received.report.processes,
                                    received.report.coverage, elapsed(received.heard, now)});
    };
    if (deployment != nullptr)
        add(*deployment);
    if (is_relaying) {
        for (const auto& [domain, received] : reports)
            add(*received);
    }
    return result;
}

std::vector<dispatch::store_reader_candidate> peer_table::reader_candidates(monotonic_time now) const
{
    std::vector<dispatch::store_reader_candidate> others;
    for (const auto& [id, entry] : m_peers) {
        if (is_in_domain(entry) && !entry.state->is_leaving && condition_of(entry, now) == condition::alive)
            others.push_back(
                {id, entry.is_reading, elapsed(entry.store_answered, now), elapsed(entry.last_contact, now)});
    }
    return others;
}

} // namespace siskinwharf::forwarding
