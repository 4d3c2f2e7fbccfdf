#include "forwarding_process.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/forwarding/deployment_watch.h"
#include "siskinwharf/forwarding/duty_runner.h"
#include "siskinwharf/forwarding/path_watch.h"
#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/process_origin_source.h"
#include "siskinwharf/forwarding/request_runner.h"
#include "siskinwharf/forwarding/software_record.h"
#include "siskinwharf/forwarding/transfer_budget.h"
#include "siskinwharf/platform/call_headers.h"
#include "siskinwharf/platform/duty_client.h"
#include "siskinwharf/platform/settings_file.h"
#include "siskinwharf/platform/store_client.h"
#include "siskinwharf/settings/settings_error.h"
#include "siskinwharf/telemetry/memory_metrics.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// After a request to stop, connections are accepted until the load balancer has seen the failing readiness
/// check twice, at one check a second.
constexpr milliseconds drain_time{3'000};
/// Callers are told to use a connection again within this time only, so that a stopping process soon has none
/// that is still in use.
constexpr milliseconds reuse_time{3'000};
/// The process ends this long before it would be killed.
constexpr milliseconds stop_margin{400};
/// Connections are closed this long before the process ends, for requests that are already under way.
constexpr milliseconds last_requests_time{500};
/// Time between the signal and its handling, and between a caller's sending and the reading, at most.
constexpr milliseconds signal_margin{250};
constexpr milliseconds stop_poll{50};
/// Time in which the requests of peers and operators that were read are answered at the end. With
/// `withdrawal_time` less than `stop_margin`.
constexpr milliseconds last_answers_time{150};
/// Longest time that the end of a stop waits for the store.
constexpr milliseconds withdrawal_time{150};
constexpr milliseconds withdrawal_poll{10};
/// Longest time that a log line waits to be written.
constexpr milliseconds log_period{500};
constexpr std::uint32_t most_connections = 3'000;
constexpr std::uint32_t most_internal_connections = 1'000;
constexpr int not_ready_status = 503;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::uint64_t random_number()
{
    std::random_device random;
    constexpr unsigned half_bits = 32;
    return (std::uint64_t{random()} << half_bits) | random();
}

http::address to_address(const settings::socket_address& address)
{
    return {address.ip, address.port};
}

std::uint64_t version_parameter(const http::request& message, std::string_view name)
{
    const auto text = message.find_parameter(name).value_or("");
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc() && end == text.data() + text.size() ? version : 0;
}

/// What a peer that asks for the state has. A peer that names no version gets everything.
forwarding::known_versions versions_of(const http::request& message)
{
    return {{version_parameter(message, "configuration"), version_parameter(message, "configuration_era")},
            {version_parameter(message, "era"), version_parameter(message, "list")}};
}

http::server_limits limits_of(const deployment::caller_limits& limits)
{
    http::server_limits result;
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.request_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    result.reuse_time = reuse_time;
    result.connections = most_connections;
    return result;
}

/// Peers pass on what callers may send. Their connections are kept like those of other peers.
http::server_limits relay_limits(const deployment::caller_limits& limits)
{
    auto result = limits_of(limits);
    result.idle_timeout = http::server_limits{}.idle_timeout;
    result.reuse_time = http::server_limits{}.reuse_time;
    result.connections = most_internal_connections;
    return result;
}

/// Limits of the addresses that no caller uses. Their requests have no bodies, and they are few.
http::server_limits internal_limits()
{
    constexpr std::uint64_t most_body_bytes = 16U << 10U;
    http::server_limits result;
    result.body_bytes = most_body_bytes;
    result.connections = most_internal_connections;
    return result;
}

usage::wall_time wall_clock()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace

class forwarding_process::implementation {
public:
    explicit implementation(std::string settings_path)
        : m_settings_path(std::move(settings_path)),
          m_settings(platform::load_process_settings(read_file(m_settings_path))),
          m_start(random_number()),
          m_client(m_context.get_executor()),
          m_store(m_client, to_address(m_settings.store), m_settings.regions),
          m_duty_client(m_client, to_address(m_settings.duties)),
          m_state(m_settings, m_start, wall_clock(), std::chrono::steady_clock::now()),
          m_peers(m_context, m_settings, m_state, m_start),
          m_software(m_context, m_store, m_state, m_settings),
          m_origins(m_software, m_peers),
          m_runner(m_context.get_executor(), m_state, m_codec, m_client, m_metrics, m_origins, &m_peers),
          m_paths(m_context, m_state),
          m_watch(m_context, m_store, m_client, m_state, m_peers, [this] { apply_limits(); }),
          m_duties(m_context, m_settings, m_store, m_duty_client, m_state, m_peers, m_software, m_start),
          m_transfers(m_settings.link_rate),
          m_callers(m_context, to_address(m_settings.callers), limits_of({}),
                    [this](http::request message, http::response_writer& writer) {
                        return m_runner.handle(std::move(message), writer);
                    }),
          m_relays(m_context, to_address(m_settings.relays), relay_limits({}),
                   [this](http::request message, http::response_writer& writer) {
                       return m_runner.handle_relayed(std::move(message), writer);
                   }),
          m_readiness(m_context, to_address(m_settings.readiness), internal_limits(),
                      [this](http::request message, http::response_writer& writer) {
                          return answer_readiness(std::move(message), writer);
                      }),
          m_peer_server(m_context, to_address(m_settings.peers), internal_limits(),
                        [this](http::request message, http::response_writer& writer) {
                            return answer_peer(std::move(message), writer);
                        }),
          m_metrics_server(m_context, to_address(m_settings.metrics), internal_limits(),
                           [this](http::request message, http::response_writer& writer) {
                               return answer_metrics(std::move(message), writer);
                           }),
          m_signals(m_context, SIGTERM, SIGHUP)
    {
    }

    void run()
    {
        log_event(event::process_started, {{"instance", m_settings.instance.value()},
                                           {"domain", m_settings.domain.value()},
                                           {"start", std::to_string(m_start)}});
        m_peers.start();
        m_watch.start();
        m_watch.register_process(
            {m_settings.instance, m_settings.peers.ip, m_settings.peers.port, m_settings.domain, m_start});
        m_duties.start();
        m_callers.use_budget(m_state.memory());
        m_callers.start();
        m_relays.use_budget(m_state.memory());
        m_relays.start();
        m_paths.start();
        m_readiness.start();
        m_peer_server.start();
        m_metrics_server.start();
        asio::co_spawn(m_context, handle_signals(), asio::detached);
        asio::co_spawn(m_context, flush_log(), asio::detached);
        m_context.run();
        m_callers.log_open_requests();
        log_event(event::process_stopped, {{"active", std::to_string(m_callers.active_requests())}});
        flush_events();
    }

private:
    asio::awaitable<void> flush_log()
    {
        set_event_batching(true);
        asio::steady_timer timer(m_context);
        while (true) {
            flush_events();
            timer.expires_after(log_period);
            co_await timer.async_wait(use_tuple);
        }
    }

    asio::awaitable<void> handle_signals()
    {
        while (true) {
            const auto [error, number] = co_await m_signals.async_wait(use_tuple);
            if (error)
                co_return;
            if (number == SIGHUP)
                reload();
            else if (!std::exchange(m_is_stopping, true))
                asio::co_spawn(m_context, stop(), asio::detached);
        }
    }

    /// Addresses and identity of a running process do not change; a faulty file changes nothing.
    void reload()
    {
        try {
            const auto fresh = platform::load_process_settings(read_file(m_settings_path));
            log_event(event::settings_reloaded, {{"changed", fresh == m_settings ? "no" : "yes"}});
        } catch (const settings::settings_error& error) {
            for (const auto& fault : error.faults())
                log_event(event::settings_rejected, {{"fault", settings::to_string(fault)}});
        }
    }

    asio::awaitable<void> stop()
    {
        const auto started = std::chrono::steady_clock::now();
        const auto end = started + m_settings.bounds.stop_time - stop_margin;
        log_event(event::process_stopping, {{"active", std::to_string(m_callers.active_requests())},
                                            {"connections", std::to_string(m_callers.open_connections())}});
        m_peers.set_leaving();
        m_duties.stop();
        m_state.begin_stop({started + drain_time - signal_margin, end});
        m_callers.begin_drain();
        m_relays.begin_drain();
        asio::steady_timer timer(m_context, std::min(drain_time, m_settings.bounds.stop_time - stop_margin));
        co_await timer.async_wait(use_tuple);
        m_callers.stop_accepting();
        // Callers go on using the connections that they have: each use ends one of them.
        while ((m_callers.open_connections() > 0 || m_relays.active_requests() > 0) &&
               std::chrono::steady_clock::now() < end) {
            if (std::chrono::steady_clock::now() < end - last_requests_time)
                m_callers.close_unused();
            else
                m_callers.close_idle();
            timer.expires_after(stop_poll);
            co_await timer.async_wait(use_tuple);
        }
        m_watch.withdraw_registration();
        const auto withdrawn = std::chrono::steady_clock::now() + withdrawal_time;
        while (!m_watch.is_registration_withdrawn() && std::chrono::steady_clock::now() < withdrawn) {
            timer.expires_after(withdrawal_poll);
            co_await timer.async_wait(use_tuple);
        }
        // Counts of the last moments would be missing in the usage reports.
        m_peers.broadcast_state();
        co_await end_own_servers();
        m_context.stop();
    }

    /// Answers what peers and operators have sent. They are served up to here: a readiness check is part of
    /// the stop.
    asio::awaitable<void> end_own_servers()
    {
        const std::array servers{&m_readiness, &m_peer_server, &m_metrics_server, &m_relays};
        for (auto* server : servers) {
            server->stop_accepting();
            server->close_idle();
        }
        const auto has_requests = [](const http::server* server) {
            return server->active_requests() > 0;
        };
        const auto end = std::chrono::steady_clock::now() + last_answers_time;
        asio::steady_timer timer(m_context);
        do {
            // Connections that have bytes are read meanwhile.
            timer.expires_after(stop_poll);
            co_await timer.async_wait(use_tuple);
        } while (std::ranges::any_of(servers, has_requests) && std::chrono::steady_clock::now() < end);
    }

    void apply_limits()
    {
        m_callers.set_limits(limits_of(m_state.configuration()->content().limits));
        m_relays.set_limits(relay_limits(m_state.configuration()->content().limits));
        if (!std::exchange(m_was_ready, true))
            log_event(event::process_ready,
                      {{"configuration", std::to_string(m_state.configuration()->version())}});
    }

    asio::awaitable<void> answer_readiness(http::request /*message*/, http::response_writer& writer)
    {
        const bool is_ready = m_state.is_ready() && !m_is_stopping;
        http::response answer{is_ready ? 200 : not_ready_status, {}, ""};
        co_await writer.send(std::move(answer));
    }

    asio::awaitable<void> answer_peer(http::request message, http::response_writer& writer)
    {
        auto state = m_watch.encode_state(versions_of(message));
        if (!m_transfers.try_take(state.size(), std::chrono::steady_clock::now())) {
            http::response refusal{not_ready_status, {}, ""};
            co_await writer.send(std::move(refusal));
            co_return;
        }
        auto answer = http::json_response(200, std::move(state));
        co_await writer.send(std::move(answer));
    }

    asio::awaitable<void> answer_metrics(http::request /*message*/, http::response_writer& writer)
    {
        telemetry::set_memory_metrics(m_metrics, *m_state.memory());
        http::response answer{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render_prometheus()};
        co_await writer.send(std::move(answer));
    }

    std::string m_settings_path;
    forwarding::process_settings m_settings;
    std::uint64_t m_start;
    asio::io_context m_context{1};
    http::client m_client;
    platform::call_headers m_codec;
    platform::store_client m_store;
    platform::duty_client m_duty_client;
    telemetry::metrics_registry m_metrics;
    forwarding::traffic_state m_state;
    forwarding::peer_exchange m_peers;
    forwarding::software_record m_software;
    forwarding::process_origin_source m_origins;
    forwarding::request_runner m_runner;
    forwarding::path_watch m_paths;
    forwarding::deployment_watch m_watch;
    forwarding::duty_runner m_duties;
    forwarding::transfer_budget m_transfers;
    http::server m_callers;
    http::server m_relays;
    http::server m_readiness;
    http::server m_peer_server;
    http::server m_metrics_server;
    asio::signal_set m_signals;
    bool m_is_stopping = false;
    bool m_was_ready = false;
};

forwarding_process::forwarding_process(std::string settings_path)
    : m_implementation(std::make_unique<implementation>(std::move(settings_path)))
{
}

forwarding_process::~forwarding_process() = default;

void forwarding_process::run()
{
    m_implementation->run();
}

} // namespace siskinwharf::entry
