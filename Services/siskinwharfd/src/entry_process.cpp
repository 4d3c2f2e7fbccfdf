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

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds drain_poll_period{50};
constexpr milliseconds readiness_poll_period{20};

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

routing::routing_options options_of(const settings::settings& settings)
{
    routing::routing_options options;
    options.policy = policy_of(settings.policy);
    return options;
}

http::server_limits limits_of(const settings::settings& settings)
{
    http::server_limits limits;
    limits.body_bytes = settings.limits.max_body_bytes;
    limits.request_timeout = settings.limits.header_timeout;
    return limits;
}

} // namespace

entry_process::entry_process(settings::settings configured)
    : m_core([&configured] {
          const auto options = options_of(configured);
          return entry_core(std::move(configured), options, now());
      }()),
      m_client(m_control.get_executor()),
      m_table(m_client,
              platform::platform_access{{m_core.settings.platform.ip, m_core.settings.platform.port},
                                        m_core.settings.instance.value()}),
      m_committer(m_control, m_table),
      m_platform(m_control, m_core, m_client, [this](const std::map<endpoint_id, monotonic_time>& gone_at) {
          for (auto& own : m_workers)
              asio::post(own->context(), [&own, gone_at] { own->reclaims().on_leaving(gone_at); });
      })
{
    const auto& settings = m_core.settings;
    std::optional<http::tls_files> tls;
    if (settings.tls)
        tls = http::tls_files{settings.tls->certificate, settings.tls->private_key};
    for (std::uint32_t index = 0; index < settings.threads; ++index)
        m_workers.push_back(std::make_unique<worker>(m_core));
    const holder_query query_holder = [](std::string, claims::claim_identity,
                                         claims::attempt_number) -> asio::awaitable<claims::holder_reply> {
        co_return claims::holder_unknown{};
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
    }
    m_admin = std::make_unique<http::server>(
        m_control, http::address{settings.listen.admin.ip, settings.listen.admin.port}, http::server_limits{},
        [this](http::request message, http::response_writer& writer) {
            return m_admin_api.handle(std::move(message), writer);
        });
    m_core.report_endpoint = [this](const endpoint_id& endpoint, endpoint_report report) {
        asio::post(m_control, [this, endpoint, report] { m_platform.report(endpoint, report); });
    };
}

entry_process::~entry_process() = default;

void entry_process::run()
{
    log_event(event::process_started, {{"instance", m_core.settings.instance.value()},
                                       {"failure_domain", m_core.settings.failure_domain.value()}});
    m_admin->start();
    m_platform.start();
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
    log_event(event::process_stopped);
}

asio::awaitable<void> entry_process::watch_readiness()
{
    asio::steady_timer timer(m_control);
    while (!m_core.sheets.is_ready(now())) {
        timer.expires_after(readiness_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    log_event(event::process_ready, {{"version", std::to_string(m_core.sheets.version())}});
}

asio::awaitable<void> entry_process::watch_signals()
{
    asio::signal_set signals(m_control, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    m_core.stopping = true;
    log_event(event::process_stopping);
    co_await drain();
    m_control.stop();
}

asio::awaitable<std::size_t> entry_process::count_active()
{
    std::size_t active = 0;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        auto& own = *m_workers[index];
        active += co_await asio::co_spawn(
            own.context(), [&own]() -> asio::awaitable<std::size_t> { co_return own.active_requests(); },
            asio::use_awaitable);
        active += m_servers[index]->active_requests();
    }
    co_return active;
}

asio::awaitable<void> entry_process::drain()
{
    const auto give_up_at = now() + m_core.settings.stop_timeout;
    asio::steady_timer timer(m_control);
    while (now() < give_up_at) {
        if (co_await count_active() == 0)
            co_return;
        timer.expires_after(drain_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace siskinwharf::entry
