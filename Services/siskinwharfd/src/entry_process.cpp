#include "entry_process.h"

#include <csignal>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform_access_of.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds drain_poll_period{50};
/// Time before the end of a reclaimed instance at which its requests are handed over.
constexpr milliseconds handover_margin{1'500};
constexpr milliseconds last_writes_time{500};
/// A table operation that is running may take its whole timeout of 1 s before the release can be sent.
constexpr milliseconds release_time{1'500};
constexpr milliseconds readiness_poll_period{20};
/// Time for the request of a connection that its caller opened just before the listening socket was closed.
constexpr milliseconds first_request_time{250};
/// Time after that in which requests that have arrived are answered or refused.
constexpr milliseconds last_requests_time{250};
constexpr milliseconds connection_poll_period{10};

routing::routing_policy policy_of(settings::routing_policy policy)
{
    switch (policy) {
    case settings::routing_policy::prefix_affinity:
        return routing::prefix_affinity{};
    case settings::routing_policy::round_robin:
        return routing::round_robin{};
    case settings::routing_policy::least_in_flight:
        return routing::least_in_flight{};
    }
    return routing::prefix_affinity{};
}

/// Several entry processes and several failure domains send work to an engine before the first report of it
/// arrives.
constexpr std::uint32_t unreported_capacity_divisor = 8;

routing::routing_options options_of(const settings::settings& settings)
{
    routing::routing_options options;
    options.policy = policy_of(settings.policy);
    options.unreported_capacity_divisor = unreported_capacity_divisor;
    return options;
}

http::server_limits limits_of(const settings::settings& settings)
{
    http::server_limits limits;
    limits.body_bytes = settings.limits.max_body_bytes;
    limits.request_timeout = settings.limits.header_timeout;
    return limits;
}

/// Limits of the listener of operators, which the budget of memory does not bound, so that it answers without
/// memory. Its requests have no bodies, and they are few.
http::server_limits admin_limits()
{
    constexpr std::uint64_t most_body_bytes = 16U << 10U;
    constexpr std::uint32_t most_connections = 1'000;
    http::server_limits limits;
    limits.body_bytes = most_body_bytes;
    limits.connections = most_connections;
    return limits;
}

} // namespace

entry_process::entry_process(const settings::settings& configured)
    : m_core(configured, options_of(configured), now()),
      m_client(m_control.get_executor()),
      m_table(m_client, platform_access_of(m_core.settings)),
      m_committer(m_control, m_table),
      m_claim_service(m_control, m_committer),
      m_platform(m_control, m_core, m_client, make_instance_feed_ports(), make_observer()),
      m_peers(std::make_shared<peer_node>(m_control, m_core, m_client, m_committer, make_peer_callbacks())),
      m_claim_forwarder(m_control, make_forwarding_ports()),
      m_summaries(m_control, m_core,
                  [this](membership::outgoing_message message) { return m_peers->ask(std::move(message)); }),
      m_control_loop(
          m_control, m_core, m_table, m_client,
          [this](const std::map<endpoint_id, monotonic_time>& gone_at) { m_platform.announce(gone_at); },
          [this](const peer::rollout_state& state) {
              m_platform.apply_rollout(state);
              m_peers->send(state);
          })
{
    m_committer.set_route(m_claim_forwarder);
    const auto& settings = m_core.settings;
    std::optional<http::tls_files> tls;
    if (settings.tls)
        tls = http::tls_files{settings.tls->certificate, settings.tls->private_key};
    for (std::uint32_t index = 0; index < settings.threads; ++index)
        m_workers.push_back(std::make_unique<worker>(m_core));
    const holder_query query_holder = [this](std::string holder, claims::claim_identity identity,
                                             claims::attempt_number attempt) {
        return ask_holder(std::move(holder), std::move(identity), attempt);
    };
    for (auto& own : m_workers) {
        m_apis.push_back(std::make_unique<caller_api>(m_core, *own, m_workers, m_committer, query_holder));
        m_servers.push_back(std::make_unique<http::server>(
            own->context(), http::address{settings.listen.callers.ip, settings.listen.callers.port},
            limits_of(settings),
            [api = m_apis.back().get()](http::request message, http::response_writer& writer) {
                return api->handle(std::move(message), writer);
            },
            tls ? &*tls : nullptr));
        m_servers.back()->use_budget(m_core.memory);
    }
    m_admin = std::make_unique<http::server>(
        m_control, http::address{settings.listen.admin.ip, settings.listen.admin.port}, admin_limits(),
        [this](http::request message, http::response_writer& writer) {
            return m_admin_api.handle(std::move(message), writer);
        });
    m_core.find_holder = [this](request_id id) {
        return find_holder(std::move(id));
    };
    m_core.domain_summaries = [this] {
        return m_summaries.summaries();
    };
    m_core.peer_counters = [this] {
        return m_peers->counters();
    };
    m_core.report_endpoint = [this](const endpoint_id& endpoint, endpoint_report report) {
        asio::post(m_control, [this, endpoint, report] { m_platform.report(endpoint, report); });
    };
}

entry_process::~entry_process() = default;

platform_sync::observer entry_process::make_observer()
{
    platform_sync::observer result;
    result.on_leaving = [this](const std::map<endpoint_id, monotonic_time>& gone_at) {
        for (auto& own : m_workers)
            asio::post(own->context(), [&own, gone_at] { own->reclaims().on_leaving(gone_at); });
    };
    result.on_restored = [this](const std::set<endpoint_id>& endpoints) {
        for (auto& own : m_workers)
            asio::post(own->context(), [&own, endpoints] { own->reclaims().on_restored(endpoints); });
    };
    result.on_instances = [this](const std::vector<cloud::instance_record>& records) {
        m_peers->apply_instances(records);
        m_control_loop.update(records);
        m_summaries.update(records);
        note_entry_instances(records);
    };
    result.announce = [this](const std::vector<peer::endpoint_notice>& notices) {
        m_peers->announce(notices);
    };
    result.relay = [this](const std::vector<peer::endpoint_notice>& notices) {
        m_peers->relay(notices);
    };
    return result;
}

instance_feed_ports entry_process::make_instance_feed_ports()
{
    instance_feed_ports result;
    result.join_seed = [this] {
        return m_peers->join_seed();
    };
    result.members = [this] {
        return m_peers->working_members();
    };
    result.share = [this](const peer::instance_changes& changes) {
        m_peers->share(changes);
    };
    result.fetch = [this](std::optional<membership::member_info> from, peer::instance_list_request wanted) {
        return m_peers->fetch_instances(std::move(from), std::move(wanted));
    };
    return result;
}

peer_callbacks entry_process::make_peer_callbacks()
{
    peer_callbacks result;
    result.on_notices = [this](const std::vector<peer::endpoint_notice>& notices) {
        m_platform.apply_notices(notices);
    };
    result.on_rollout = [this](const peer::rollout_state& state) {
        m_platform.apply_rollout(state);
    };
    result.on_probe = [this](const endpoint_id& endpoint, bool answered) {
        m_platform.probe_ended(endpoint, answered);
    };
    result.departed = [this] {
        return m_platform.departed();
    };
    result.on_sheet_missed = [this] {
        m_platform.expedite_sheet();
    };
    result.on_instance_changes = [this](const instance_id& sender, const peer::address& from,
                                        const peer::instance_changes& changes) {
        m_platform.instances().receive(sender, from, changes);
    };
    result.instance_list = [this](const peer::instance_list_request& request) {
        return m_platform.instances().reply(request);
    };
    result.summaries = [this](const peer::summary_request& request) {
        return m_summaries.reply(request);
    };
    result.locate = [this](request_id id) {
        return locate_here(std::move(id));
    };
    result.adopt = [this](peer::request_record record) {
        return adopt(std::move(record));
    };
    result.commit_claims = [this](peer::claim_commit_request request) {
        return m_claim_service.answer(std::move(request));
    };
    return result;
}

forwarding_ports entry_process::make_forwarding_ports()
{
    forwarding_ports result;
    result.committer = [this] {
        return m_peers->claim_committer_of_domain();
    };
    result.request = [this](claim_peer committer, peer::message body, milliseconds timeout) {
        return m_peers->request_once(std::move(committer.member), std::move(committer.contact),
                                     std::move(body), timeout);
    };
    return result;
}

asio::awaitable<claims::holder_reply>
entry_process::ask_holder(std::string holder, claims::claim_identity identity, claims::attempt_number attempt)
{
    auto operation = m_peers->query_claim(std::move(holder), std::move(identity), attempt);
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

void entry_process::note_entry_instances(const std::vector<cloud::instance_record>& records)
{
    for (const auto& record : records) {
        if (!std::holds_alternative<cloud::serves_entry>(record.serves))
            continue;
        m_entry_addresses[record.id] = {record.address, record.port};
        if (record.id != m_core.settings.instance || !record.leaving || m_core.stopping)
            continue;
        // The own instance is being reclaimed: what does not finish in time is handed over.
        const auto notice = record.leaves_in.value_or(m_core.settings.stop_timeout);
        asio::co_spawn(m_control, stop_within(notice - handover_margin), asio::detached);
    }
}

asio::awaitable<std::optional<http::address>> entry_process::find_holder(request_id id)
{
    auto operation = find_holder_here(std::move(id));
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<std::optional<http::address>> entry_process::find_holder_here(request_id id)
{
    const auto holder = co_await m_peers->locate(std::move(id));
    if (!holder)
        co_return std::nullopt;
    const auto found = m_entry_addresses.find(*holder);
    if (found == m_entry_addresses.end())
        co_return std::nullopt;
    co_return found->second;
}

asio::awaitable<void> entry_process::hand_over_requests()
{
    for (const auto& own : m_workers) {
        const auto records = co_await worker::export_records(*own);
        for (const auto& record : records) {
            if (co_await m_peers->hand_over(record))
                co_await worker::release(*own, record.request.value());
        }
    }
}

asio::awaitable<void> entry_process::stop_within(milliseconds time)
{
    if (m_core.stopping.exchange(true))
        co_return;
    m_claim_service.stop_accepting();
    log_event(event::process_stopping, {{"time_ms", std::to_string(time.count())}});
    // From now on each response says that its connection ends, because all end with the process.
    for (std::size_t index = 0; index < m_workers.size(); ++index)
        asio::post(m_workers[index]->context(), [front = m_servers[index].get()] { front->begin_drain(); });
    m_admin->begin_drain();
    co_await drain(now() + time);
    co_await hand_over_requests();
    // Callers whose connection was to end get that end before the process does.
    co_await drain(now() + last_writes_time);
    // Without the release the next holder waits for the lease to run out, 14 s instead of 4 s.
    co_await m_control_loop.release(release_time);
    co_await end_connections();
    m_peers->stop();
    m_control.stop();
}

asio::awaitable<void> entry_process::end_connections()
{
    for (std::size_t index = 0; index < m_workers.size(); ++index)
        asio::post(m_workers[index]->context(),
                   [front = m_servers[index].get()] { front->stop_accepting(); });
    asio::steady_timer timer(m_control, first_request_time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    for (std::size_t index = 0; index < m_workers.size(); ++index)
        asio::post(m_workers[index]->context(), [front = m_servers[index].get()] { front->close_idle(); });
    const auto give_up_at = now() + last_requests_time;
    while (now() < give_up_at && co_await count_connections() > 0) {
        timer.expires_after(connection_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<std::size_t> entry_process::count_connections()
{
    std::size_t open = 0;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        auto operation = count_connections_of(*m_servers[index]);
        open +=
            co_await asio::co_spawn(m_workers[index]->context(), std::move(operation), asio::use_awaitable);
    }
    co_return open;
}

asio::awaitable<std::size_t> entry_process::count_connections_of(const http::server& front)
{
    co_return front.open_connections();
}

asio::awaitable<peer::locate_state> entry_process::locate_here(request_id id)
{
    for (const auto& own : m_workers) {
        const auto state = co_await worker::locate(*own, id.value());
        if (state != peer::locate_state::unknown)
            co_return state;
    }
    co_return peer::locate_state::unknown;
}

asio::awaitable<bool> entry_process::adopt(peer::request_record record)
{
    const auto index = m_core.next_number.fetch_add(1) % m_workers.size();
    co_return co_await worker::adopt(*m_workers[index], std::move(record));
}

void entry_process::run()
{
    log_event(event::process_started, {{"instance", m_core.settings.instance.value()},
                                       {"failure_domain", m_core.settings.failure_domain.value()}});
    m_admin->start();
    try {
        m_peers->start();
    } catch (const boost::system::system_error& error) {
        throw http::listen_error(std::string("cannot listen for peers: ") + error.what());
    }
    m_platform.start();
    m_control_loop.start();
    m_summaries.start();
    m_committer.start();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        m_servers[index]->start();
        m_workers[index]->start();
    }
    asio::co_spawn(m_control, watch_signals(), asio::detached);
    asio::co_spawn(m_control, watch_readiness(), asio::detached);
    m_control.run();
    for (auto& own : m_workers)
        own->stop();
    for (const auto& front : m_servers)
        front->log_open_requests();
    log_event(event::process_stopped);
}

asio::awaitable<void> entry_process::watch_readiness()
{
    asio::steady_timer timer(m_control);
    while (!m_core.is_ready(now())) {
        timer.expires_after(readiness_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    log_event(event::process_ready, {{"version", std::to_string(m_core.sheets.version())}});
}

asio::awaitable<void> entry_process::watch_signals()
{
    asio::signal_set signals(m_control, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await stop_within(m_core.settings.stop_timeout);
}

asio::awaitable<std::size_t> entry_process::count_active()
{
    std::size_t active = 0;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        active += co_await worker::count_active(*m_workers[index]);
        active += m_servers[index]->active_requests();
    }
    co_return active;
}

asio::awaitable<void> entry_process::drain(monotonic_time give_up_at)
{
    asio::steady_timer timer(m_control);
    while (now() < give_up_at) {
        const auto active = co_await count_active() + m_admin->active_requests();
        if (active == 0 && m_claim_service.pending() == 0)
            co_return;
        timer.expires_after(drain_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace siskinwharf::entry
