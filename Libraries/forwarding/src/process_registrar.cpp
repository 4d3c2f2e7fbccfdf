#include "siskinwharf/forwarding/process_registrar.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Interval between checks whether something is due.
constexpr milliseconds check_interval{500};
/// Shortest interval between two renewals of a registration.
constexpr milliseconds minimum_renewal_interval{10'000};
/// Part of the renewal interval that each process of the deployment adds, which bounds the writes of all.
constexpr milliseconds renewal_interval_per_process{250};
/// Renewal intervals after which a registration expires. Two renewals may fail.
constexpr int renewals_in_validity = 3;
/// Part of the renewal interval after which a failed call is repeated.
constexpr int retries_per_renewal = 10;
/// Interval between reads of the registrations.
constexpr milliseconds read_interval{20'000};
/// As above, for a process that hears of others through relays.
constexpr milliseconds relayed_read_interval{120'000};
/// Shortest interval between reads, and the wait for a late renewal, when the registration of a silent peer
/// expires.
constexpr milliseconds minimum_read_interval{2'000};
constexpr milliseconds late_renewal_time{300};
/// Time over which the processes register again after a restore, so that not all write at once.
constexpr milliseconds longest_restore_spread{3'000};
/// Time after which an expired registration is removed from the store. Its process, if it can write again,
/// does so earlier.
constexpr milliseconds removal_delay{60'000};

} // namespace

process_registrar::process_registrar(asio::io_context& context, deployment_store& store, traffic_state& state,
                                     peer_exchange& peers, std::function<std::uint64_t()> known_era)
    : m_context(context),
      m_store(store),
      m_state(state),
      m_peers(peers),
      m_known_era(std::move(known_era)),
      m_timer(context)
{
}

void process_registrar::start(registered_process self)
{
    asio::co_spawn(m_context, run(std::move(self)), asio::detached);
}

void process_registrar::withdraw()
{
    m_is_withdrawing = true;
    m_timer.cancel();
}

milliseconds process_registrar::renewal_interval(std::size_t processes)
{
    return std::max(minimum_renewal_interval,
                    renewal_interval_per_process * static_cast<std::int64_t>(processes));
}

milliseconds process_registrar::restore_spread(const instance_id& process)
{
    const auto position = unit_interval(mix64(hash64(process.value())));
    return milliseconds(std::llround(position * static_cast<double>(longest_restore_spread.count())));
}

asio::awaitable<void> process_registrar::pause(milliseconds time)
{
    if (m_is_withdrawing)
        co_return;
    m_timer.expires_after(time);
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> process_registrar::run(registered_process self)
{
    while (!m_is_withdrawing) {
        bool failed = false;
        try {
            co_await register_if_due(self);
            co_await read_if_due();
        } catch (const store_unavailable& error) {
            failed = true;
            log_event(event::platform_unavailable, {{"service", "registration"}, {"reason", error.what()}});
        }
        co_await pause(failed ? renewal_interval(m_state.processes()) / retries_per_renewal : check_interval);
    }
    co_await withdraw_registration(std::move(self));
    m_is_withdrawn = true;
}

asio::awaitable<void> process_registrar::register_if_due(registered_process self)
{
    const auto known = m_known_era();
    const bool is_lost = m_era && *m_era < known;
    if (m_era && !is_lost && std::chrono::steady_clock::now() < m_next_renewal)
        co_return;
    if (is_lost)
        co_await pause(restore_spread(self.id));
    const auto interval = renewal_interval(m_state.processes());
    const auto validity = interval * renewals_in_validity;
    const auto sent = std::chrono::steady_clock::now();
    co_await m_store.register_process(std::move(self), validity);
    m_state.set_registered_until(sent + validity);
    m_next_renewal = sent + interval;
    m_era = std::max(known, m_store.era());
}

monotonic_time process_registrar::next_read(monotonic_time now) const
{
    if (m_peers.relies_on_relays())
        return now + relayed_read_interval;
    auto result = now + read_interval;
    // A peer that is not heard counts as a user of quotas until its registration is known to have expired.
    if (const auto expiry = m_peers.next_expiry())
        result = std::min(result, std::max(*expiry + late_renewal_time, now + minimum_read_interval));
    return result;
}

asio::awaitable<void> process_registrar::read_if_due()
{
    if (std::chrono::steady_clock::now() < m_next_read)
        co_return;
    const auto registrations = co_await m_store.read_processes();
    m_peers.set_registrations(registrations);
    m_next_read = next_read(std::chrono::steady_clock::now());
    if (m_peers.holds_lease())
        co_await remove_expired();
}

asio::awaitable<void> process_registrar::remove_expired()
{
    auto expired = m_peers.expired_registrations(std::chrono::steady_clock::now() - removal_delay);
    if (expired.empty())
        co_return;
    log_event(event::registrations_removed, {{"count", std::to_string(expired.size())}});
    while (!expired.empty()) {
        const auto count = std::min(expired.size(), maximum_removed_registrations);
        const auto rest = expired.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<process_registration> part(expired.begin(), rest);
        expired.erase(expired.begin(), rest);
        co_await m_store.remove_processes(std::move(part));
    }
}

asio::awaitable<void> process_registrar::withdraw_registration(registered_process self)
{
    if (!m_era)
        co_return;
    try {
        co_await m_store.withdraw_process(std::move(self));
    } catch (const store_unavailable& error) {
        // The registration expires.
        log_event(event::platform_unavailable, {{"service", "registration"}, {"reason", error.what()}});
    }
}

} // namespace siskinwharf::forwarding
