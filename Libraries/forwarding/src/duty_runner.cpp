#include "siskinwharf/forwarding/duty_runner.h"

#include <algorithm>
#include <ctime>
#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

constexpr milliseconds step_period{200};
/// Maximum duration of a platform call. A call is made only if the lease remains valid for this long.
constexpr milliseconds platform_call_timeout{800};
constexpr milliseconds order_period{1'000};
/// Time before the due time of a report at which it is sent without the counts of unreachable processes.
/// Leaves time for another process to take over, which takes the duration of a lease.
constexpr milliseconds report_lead_time{4'000};
constexpr double milliseconds_in_second = 1'000;
/// Fraction of an engine's time spent on decoding when all of its slots are in use. The rest is available for
/// prefill.
constexpr double decode_weight = 0.2;
/// Maximum number of report actions per step, so that the lease is renewed in between.
constexpr int maximum_report_actions_per_step = 4;

control::lease_settings lease_settings_of(const process_settings& settings)
{
    control::lease_settings result;
    // No other process may make calls between two calls of one holder within this time, so the lease lasts at
    // least as long.
    result.duration = settings.bounds.lease;
    result.renew_after = result.duration / 3;
    result.poll_every = result.duration / 3;
    result.retry_after = milliseconds(300);
    result.longest_order_delay = platform_call_timeout;
    result.is_first_start = settings.is_first_start;
    return result;
}

} // namespace

duty_runner::duty_runner(asio::io_context& context, const process_settings& settings,
                         cloud::table_store& store, duty_platform& platform, traffic_state& state,
                         peer_exchange& peers, software_record& software, std::uint64_t start)
    : m_context(context),
      m_settings(settings),
      m_store(store),
      m_platform(platform),
      m_state(state),
      m_peers(peers),
      m_lease(failure_domain_id("duties"), fmt::format("{}#{:x}", settings.instance.value(), start),
              lease_settings_of(settings), now()),
      m_reports(usage::report_timing{settings.bounds.usage_window, settings.bounds.usage_due,
                                     settings.bounds.usage_due - report_lead_time}),
      m_software(software)
{
}

void duty_runner::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void duty_runner::stop()
{
    m_is_stopping = true;
    m_lease.release();
}

monotonic_time duty_runner::now()
{
    // Unlike the steady clock, CLOCK_BOOTTIME advances while the instance is suspended. The lease may expire
    // during that time.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return monotonic_time(seconds(time.tv_sec) + nanoseconds(time.tv_nsec));
}

asio::awaitable<void> duty_runner::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        co_await run_lease();
        update_lease_state();
        co_await m_software.update(may_call_platform(), std::chrono::steady_clock::now());
        if (m_settings.reports_usage)
            co_await report_usage();
        if (m_settings.orders_endpoints)
            co_await order_endpoints();
        timer.expires_after(step_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> duty_runner::run_lease()
{
    // While a live peer holds the lease, there is no need to poll the lease in the store. A process that is
    // no relay does not receive what the duties need.
    if (!m_lease.fencing() && (m_peers.has_live_lease_holder() || m_peers.relies_on_relays()))
        co_return;
    while (true) {
        m_lease.observe_era(m_store.era(), now());
        auto action = m_lease.next(now());
        if (auto* read = std::get_if<control::lease_read>(&action)) {
            const auto row = co_await m_store.read(std::move(read->key));
            m_lease.observe_era(m_store.era(), now());
            m_lease.read_done(row, now());
        } else if (auto* write = std::get_if<control::lease_commit>(&action)) {
            const auto result = co_await m_store.commit(std::move(write->transaction));
            m_lease.observe_era(m_store.era(), now());
            m_lease.commit_done(result, now());
        } else {
            co_return;
        }
    }
}

void duty_runner::update_lease_state()
{
    const auto fencing = m_lease.fencing();
    if (fencing != m_known_fencing) {
        if (fencing)
            log_event(event::lease_acquired, {{"fencing", std::to_string(*fencing)}});
        else
            log_event(event::lease_lost, {{"fencing", std::to_string(m_known_fencing.value_or(0))}});
        m_reports.restart();
        m_planners.clear();
        m_known_fencing = fencing;
    }
    m_peers.set_lease_number(may_call_platform() ? fencing.value_or(0) : 0);
}

bool duty_runner::may_call_platform() const
{
    return !m_is_stopping &&
           m_lease.permission(now(), platform_call_timeout) == control::order_permission::permitted;
}

duty_holder duty_runner::holder() const
{
    return {m_settings.instance, m_lease.fencing().value_or(0)};
}

asio::awaitable<void> duty_runner::report_usage()
{
    // The list has not shown yet that the store was restored.
    if (m_store.era() > m_peers.versions().list.era)
        co_return;
    std::vector<account_id> accounts;
    if (const auto& snapshot = m_state.configuration()) {
        for (const auto& account : snapshot->content().accounts)
            accounts.push_back(account.id);
    }
    for (int count = 0; count < maximum_report_actions_per_step && may_call_platform(); ++count) {
        const auto now = std::chrono::steady_clock::now();
        const auto wall = m_state.clock().now(now);
        const auto wall_at = [&](monotonic_time time) {
            return wall - std::chrono::duration_cast<milliseconds>(now - time);
        };
        auto action =
            m_reports.next(wall, m_state.ledger(), accounts, wall_at(m_peers.counts_complete_until(now)),
                           wall_at(m_peers.era_known_since()));
        if (!action)
            co_return;
        if (auto* store = std::get_if<usage::store_report>(&*action)) {
            const auto result = co_await m_store.commit(std::move(store->transaction));
            m_reports.stored(store->window, result);
        } else if (auto* read = std::get_if<usage::read_report>(&*action)) {
            const auto result = co_await m_store.read(std::move(read->key));
            m_reports.read(read->window, result);
        } else if (auto* send = std::get_if<usage::send_report>(&*action)) {
            const auto text = usage::encode(send->counts);
            const auto started = duty_runner::now();
            m_lease.call_started(started);
            const auto result =
                co_await m_platform.report_usage(holder(), send->window, std::move(send->counts));
            m_lease.call_ended(started, result != duty_result::unavailable, duty_runner::now());
            m_reports.sent(send->window, result != duty_result::unavailable);
            log_event(event::usage_reported, {{"window", std::to_string(send->window)},
                                              {"counts", text},
                                              {"outcome", std::string(to_string(result))}});
        }
    }
}

asio::awaitable<void> duty_runner::order_endpoints()
{
    const auto snapshot = m_state.configuration();
    if (!snapshot || !may_call_platform() || now() < m_next_order)
        co_return;
    m_next_order = now() + order_period;
    for (const auto& service : snapshot->content().services) {
        if (service.scaling)
            co_await order_endpoints(service);
    }
}

control::service_snapshot duty_runner::snapshot_of(const deployment::service& service) const
{
    control::service_snapshot result;
    const auto& scaling = *service.scaling;
    result.minimum = scaling.minimum;
    result.maximum = scaling.maximum;
    result.start_time = scaling.start_time;
    result.reclaimable_price = scaling.reclaimable_price;
    std::map<failure_domain_id, control::domain_endpoints> domains;
    double slots = 1;
    for (const auto& [id, state] : m_state.balancer().endpoints()) {
        if (state.record.service != service.id)
            continue;
        auto& domain = domains[state.record.domain];
        slots = std::max(slots, static_cast<double>(state.record.slots));
        if (!state.record.is_leaving)
            ++(state.record.is_reclaimable ? domain.reclaimable : domain.on_demand);
    }
    // Endpoints may be ordered only in the failure domains of the service, which are those with a price.
    for (const auto& [id, price] : scaling.prices)
        domains[id].price = price;
    for (const auto& [id, demand] : m_peers.demand_of(service.id)) {
        const auto prefill = static_cast<double>(demand.tokens_per_second) /
                             (m_state.balancer().prefill_speed(service.id) * milliseconds_in_second);
        const auto decode = demand.running / slots;
        if (const auto domain = domains.find(id); domain != domains.end())
            domain->second.busy += service.engine ? prefill + decode * decode_weight : decode;
    }
    for (auto& [id, domain] : domains) {
        domain.domain = id;
        result.domains.push_back(domain);
    }
    return result;
}

asio::awaitable<void> duty_runner::order_endpoints(const deployment::service& service)
{
    const auto snapshot = snapshot_of(service);
    auto& planner = m_planners[service.id];
    double busy = 0;
    for (const auto& domain : snapshot.domains)
        busy += domain.busy;
    for (const auto& order : planner.plan(snapshot, now())) {
        if (!may_call_platform())
            co_return;
        const endpoint_target target{service.id, order.domain, order.count,
                                     order.kind == control::instance_kind::reclaimable};
        const auto started = now();
        m_lease.call_started(started);
        const auto result = co_await m_platform.order_endpoints(holder(), target);
        m_lease.call_ended(started, result != duty_result::unavailable, now());
        if (result == duty_result::done)
            planner.accepted(order, snapshot.start_time, now());
        else if (result == duty_result::refused)
            planner.refused(order, now());
        log_event(event::order_sent, {{"service", service.id.value()},
                                      {"domain", order.domain.value()},
                                      {"kind", target.is_reclaimable ? "reclaimable" : "on_demand"},
                                      {"count", std::to_string(order.count)},
                                      {"busy", fmt::format("{:.2f}", busy)},
                                      {"outcome", std::string(to_string(result))}});
    }
}

} // namespace siskinwharf::forwarding
