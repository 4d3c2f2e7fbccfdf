#include "control_loop.h"

#include <exception>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http_order_endpoint.h"
#include "platform_access_of.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/cloud/http_platform.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds step_period{100};
constexpr milliseconds release_poll_period{20};
constexpr seconds capacity_period{5};
/// A leaving endpoint must get no new work 2 s after the notice.
constexpr milliseconds notice_period{500};

control::lease_settings lease_settings_of(const settings::settings& settings)
{
    control::lease_settings lease;
    lease.duration = settings.lease_duration;
    // The shares of the default times, so that several renewals can fail before the lease runs out.
    lease.renew_after = lease.duration * 3 / 10;
    lease.poll_every = lease.duration / 2;
    return lease;
}

/// A restarted process must not take its predecessor's lease for its own.
std::string holder_name(const instance_id& instance)
{
    std::random_device random;
    return instance.value() + "#" + std::to_string(random()) + std::to_string(random());
}

control_ports http_ports(const settings::settings& settings, http::client& client)
{
    return {std::make_unique<http_order_endpoint>(client),
            std::make_unique<cloud::http_cloud_api>(client, platform_access_of(settings))};
}

std::string to_text(const control::endpoint_configuration& wanted)
{
    return wanted.model.value() + ":" + wanted.version;
}

} // namespace

control_loop::control_loop(asio::io_context& context, entry_core& core, cloud::table_store& table,
                           http::client& client, leaving_handler on_leaving,
                           rollout_executor::state_handler on_rollout)
    : control_loop(context, core, table, http_ports(core.settings, client), std::move(on_leaving),
                   std::move(on_rollout))
{
}

control_loop::control_loop(asio::io_context& context, entry_core& core, cloud::table_store& table,
                           control_ports ports, leaving_handler on_leaving,
                           rollout_executor::state_handler on_rollout)
    : m_context(context),
      m_core(core),
      m_table(table),
      m_ports(std::move(ports)),
      m_on_leaving(std::move(on_leaving)),
      m_lease(core.settings.failure_domain, holder_name(core.settings.instance),
              lease_settings_of(core.settings), m_ports.clock()),
      m_rollout(core, std::move(on_rollout)),
      m_capacity(core, *m_ports.cloud, m_ports.clock)
{
}

void control_loop::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

asio::awaitable<void> control_loop::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        co_await step();
        timer.expires_after(step_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> control_loop::step()
{
    if (m_core.stopping)
        begin_release();
    co_await run_lease();
    note_lease();
    const auto fencing = m_lease.fencing();
    if (!fencing)
        co_return;
    // Notices change nothing in the platform, so they are read on while the table is unavailable.
    start_notices();
    if (!may_order())
        co_return;
    assign_orders(*fencing);
    start_orders();
    start_capacity(*fencing);
}

void control_loop::begin_release()
{
    if (std::exchange(m_is_releasing, true))
        return;
    m_lease.release();
}

asio::awaitable<void> control_loop::release(milliseconds limit)
{
    begin_release();
    const auto give_up_at = m_ports.clock() + limit;
    asio::steady_timer timer(m_context);
    while (m_lease.fencing() && m_ports.clock() < give_up_at) {
        co_await run_lease();
        if (!m_lease.fencing())
            break;
        // A table operation of `step` is still running, or the table did not answer.
        timer.expires_after(release_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    note_lease();
}

asio::awaitable<void> control_loop::run_lease()
{
    while (true) {
        m_lease.observe_era(m_table.era(), m_ports.clock());
        auto action = m_lease.next(m_ports.clock());
        if (auto* read = std::get_if<control::lease_read>(&action)) {
            const auto row = co_await m_table.read(std::move(read->key));
            m_lease.observe_era(m_table.era(), m_ports.clock());
            m_lease.read_done(row, m_ports.clock());
        } else if (auto* write = std::get_if<control::lease_commit>(&action)) {
            const auto result = co_await m_table.commit(std::move(write->transaction));
            m_lease.observe_era(m_table.era(), m_ports.clock());
            m_lease.commit_done(result, m_ports.clock());
        } else {
            co_return;
        }
    }
}

std::optional<std::uint64_t> control_loop::fencing() const
{
    if (m_ports.clock() >= m_lease.valid_until())
        return std::nullopt;
    return m_lease.fencing();
}

void control_loop::note_lease()
{
    const auto held = fencing();
    if (held == m_noted_fencing)
        return;
    const auto& domain = m_core.settings.failure_domain.value();
    if (m_noted_fencing)
        log_event(event::lease_lost, {{"domain", domain}, {"fencing", std::to_string(*m_noted_fencing)}});
    if (held)
        log_event(event::lease_acquired, {{"domain", domain}, {"fencing", std::to_string(*held)}});
    m_noted_fencing = held;
}

bool control_loop::may_order() const
{
    return is_permitted(m_ports.clock());
}

bool control_loop::is_permitted(monotonic_time time) const
{
    return m_lease.permission(time, control::order_settings{}.time_to_send) ==
           control::order_permission::permitted;
}

std::optional<monotonic_time> control_loop::begin_order()
{
    // Not read again after the check, because the process may be paused before it does.
    const auto time = m_ports.clock();
    if (!is_permitted(time))
        return std::nullopt;
    m_lease.call_started(time);
    return time;
}

void control_loop::assign_orders(std::uint64_t fencing)
{
    const auto sheet = m_core.sheets.current();
    if (sheet == nullptr)
        return;
    auto assigned = assign_models(sheet->value, m_records, m_core.settings.failure_domain);
    for (const auto& [id, model] : m_assigned) {
        if (!assigned.contains(id))
            m_orders.forget(id);
    }
    for (const auto& [id, model] : assigned)
        m_orders.set_wanted(id, model.wanted, model.support);
    m_assigned = std::move(assigned);
    // An engine unloads the old version when it takes the order, so orders are held back until their turn.
    m_rollout.step(m_assigned, m_orders, fencing, m_ports.clock());
}

void control_loop::start_orders()
{
    for (auto& action : m_orders.plan(m_lease, m_ports.clock())) {
        std::visit(
            [this](auto& due) {
                const auto found = m_assigned.find(due.endpoint);
                if (found == m_assigned.end())
                    return;
                asio::co_spawn(m_context, execute(std::move(due), found->second.address), asio::detached);
            },
            action);
    }
}

asio::awaitable<void> control_loop::execute(control::send_order order, http::address target)
{
    const auto endpoint = order.endpoint;
    const auto fencing = order.fencing;
    // The process may have been paused since the order was planned, and the lease may have a new token.
    const auto started = m_lease.fencing() == fencing ? begin_order() : std::nullopt;
    if (!started) {
        const control::order_result unsent = control::order_refused{};
        m_orders.order_done(endpoint, unsent, m_lease, m_ports.clock());
        co_return;
    }
    log_event(event::order_sent, {{"endpoint", endpoint.value()},
                                  {"wanted", to_text(order.wanted)},
                                  {"fencing", std::to_string(fencing)}});
    const auto result = co_await m_ports.endpoints->send(std::move(target), std::move(order));
    const bool is_answered = !std::holds_alternative<control::order_uncertain>(result);
    m_lease.call_ended(*started, is_answered, m_ports.clock());
    if (const auto* stale = std::get_if<control::order_refused_stale>(&result))
        log_event(event::order_refused, {{"endpoint", endpoint.value()},
                                         {"reason", "stale_fencing"},
                                         {"highest", std::to_string(stale->newer_token)}});
    if (std::holds_alternative<control::order_refused>(result)) {
        log_event(event::order_refused, {{"endpoint", endpoint.value()}, {"reason", "refused"}});
        m_rollout.order_refused(endpoint, m_ports.clock());
    }
    m_orders.order_done(endpoint, result, m_lease, m_ports.clock());
}

asio::awaitable<void> control_loop::execute(control::read_back query, http::address target)
{
    const auto configuration = co_await m_ports.endpoints->read_back(std::move(target));
    m_orders.configuration_read(query.endpoint, configuration, m_ports.clock());
}

void control_loop::start_capacity(std::uint64_t fencing)
{
    const auto time = m_ports.clock();
    if (m_is_planning_capacity || time < m_capacity_at)
        return;
    m_capacity_at = time + capacity_period;
    m_is_planning_capacity = true;
    capacity_executor::permission_check permitted = [this, fencing] {
        const auto started = m_lease.fencing() == fencing ? begin_order() : std::nullopt;
        // Its end is not followed, so it counts as a call without a response.
        if (started)
            m_lease.call_ended(*started, false, *started);
        return started.has_value();
    };
    asio::co_spawn(m_context, m_capacity.run(m_records, fencing, std::move(permitted)),
                   [this](const std::exception_ptr&) { m_is_planning_capacity = false; });
}

void control_loop::start_notices()
{
    const auto time = m_ports.clock();
    if (m_is_reading_notices || time < m_notices_at)
        return;
    m_notices_at = time + notice_period;
    m_is_reading_notices = true;
    asio::co_spawn(m_context, read_notices(),
                   [this](const std::exception_ptr&) { m_is_reading_notices = false; });
}

asio::awaitable<void> control_loop::read_notices()
{
    const auto asked_at = m_ports.clock();
    const auto result = co_await m_ports.cloud->notices(m_last_notice);
    const auto* page = std::get_if<cloud::notice_page>(&result);
    if (page == nullptr)
        co_return;
    m_last_notice = page->last;
    std::map<endpoint_id, monotonic_time> leaving;
    for (const auto& notice : page->notices) {
        // An instance that is gone already may have a successor of the same id.
        if (notice.leaves_in > milliseconds(0))
            leaving[endpoint_id(notice.id.value())] = asked_at + notice.leaves_in;
    }
    if (!leaving.empty())
        m_on_leaving(std::move(leaving));
}

} // namespace siskinwharf::entry
