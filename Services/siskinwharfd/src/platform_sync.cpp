#include "platform_sync.h"

#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/sheet/poll_schedule.h"
#include "siskinwharf/sheet/sheet_rows.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds instance_poll_period{500};
constexpr std::uint64_t seconds_per_hour = 3600;
/// Time until a leaving endpoint is gone where nobody has said it. The shortest notice of the cloud API is
/// seconds.
constexpr milliseconds assumed_notice{2'000};

platform::platform_access access_of(const settings::settings& settings)
{
    return {{settings.platform.ip, settings.platform.port}, settings.instance.value()};
}

struct target_of_workload {
    std::optional<routing::target> operator()(const platform::serves_entry&) const { return std::nullopt; }
    std::optional<routing::target> operator()(const platform::serves_model& serves) const
    {
        return routing::model_target{serves.model, serves.version};
    }
    std::optional<routing::target> operator()(const platform::serves_service& serves) const
    {
        return routing::service_target{serves.service};
    }
};

std::optional<routing::endpoint_info> to_endpoint(const platform::instance_record& record)
{
    auto serves = std::visit(target_of_workload{}, record.serves);
    if (!serves)
        return std::nullopt;
    routing::endpoint_info info;
    info.id = endpoint_id(record.id.value());
    info.address = record.address;
    info.port = record.port;
    info.domain = record.domain;
    info.region = record.region;
    info.serves = std::move(*serves);
    info.capacity = record.capacity;
    info.cost = routing::price_per_hour{record.price_microcents_per_second * seconds_per_hour};
    info.state = record.leaving ? routing::endpoint_state::leaving : routing::endpoint_state::live;
    return info;
}

asio::awaitable<void> wait_until(monotonic_time time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

platform_sync::platform_sync(asio::io_context& context, entry_core& core, http::client& client,
                             leaving_handler on_leaving)
    : m_context(context),
      m_core(core),
      m_on_leaving(std::move(on_leaving)),
      m_table(client, access_of(core.settings)),
      m_instances(client, access_of(core.settings))
{
}

void platform_sync::start()
{
    asio::co_spawn(m_context, poll_sheet(), asio::detached);
    asio::co_spawn(m_context, poll_instances(), asio::detached);
}

void platform_sync::note_platform(bool answers)
{
    if (answers == m_platform_answers)
        return;
    m_platform_answers = answers;
    log_event(answers ? event::platform_available : event::platform_unavailable, {{"service", "table"}});
}

asio::awaitable<bool> platform_sync::fetch_sheet()
{
    const auto current = co_await m_table.read(std::string(sheet::current_key));
    const auto* row = std::get_if<std::optional<platform::table_row>>(&current);
    if (row == nullptr)
        co_return false;
    const auto version = *row ? sheet::parse_version((*row)->value).value_or(0) : 0;
    m_core.sheets.note_table_version(version);
    if (version <= m_core.sheets.version())
        co_return true;
    const auto content = co_await m_table.read(sheet::version_key(version));
    const auto* text = std::get_if<std::optional<platform::table_row>>(&content);
    if (text == nullptr || !*text)
        co_return false;
    const auto result = m_core.sheets.offer(version, (*text)->value);
    if (result == sheet::offer_outcome::in_force)
        log_event(event::sheet_in_force, {{"version", std::to_string(version)}, {"source", "table"}});
    if (result == sheet::offer_outcome::invalid)
        log_event(event::sheet_rejected, {{"version", std::to_string(version)}, {"source", "table"}});
    co_return true;
}

asio::awaitable<void> platform_sync::poll_sheet()
{
    sheet::poll_schedule schedule(now());
    while (true) {
        co_await wait_until(schedule.next());
        const bool answers = co_await fetch_sheet();
        note_platform(answers);
        if (answers)
            schedule.on_answer(now(), m_random());
        else
            schedule.on_no_answer(now(), m_random());
    }
}

asio::awaitable<void> platform_sync::poll_instances()
{
    while (true) {
        const auto result = co_await m_instances.read();
        if (const auto* records = std::get_if<std::vector<platform::instance_record>>(&result)) {
            apply_instances(*records);
            if (on_instances)
                on_instances(*records);
        }
        const auto jitter = milliseconds(m_random() % 100);
        co_await wait_until(now() + instance_poll_period + jitter);
    }
}

void platform_sync::apply_instances(const std::vector<platform::instance_record>& records)
{
    routing::table_changes changes;
    std::map<endpoint_id, monotonic_time> leaving;
    std::set<endpoint_id> listed;
    std::uint32_t entries = 0;
    for (const auto& record : records) {
        if (std::holds_alternative<platform::serves_entry>(record.serves) &&
            record.domain == m_core.settings.failure_domain && !record.leaving)
            ++entries;
        auto info = to_endpoint(record);
        if (!info)
            continue;
        listed.insert(info->id);
        m_started[info->id] = record.started_ms;
        // The list lags: it may show an endpoint as live that is known to have left.
        if (const auto departed = m_departed.find(info->id);
            departed != m_departed.end() && departed->second >= record.started_ms)
            info->state = routing::endpoint_state::leaving;
        const auto known = m_core.table.find_info(info->id);
        if (known && *known == *info)
            continue;
        if (!known)
            log_event(event::endpoint_added,
                      {{"endpoint", info->id.value()}, {"domain", info->domain.value()}});
        else if (info->state == routing::endpoint_state::leaving &&
                 known->state == routing::endpoint_state::live)
            log_event(event::endpoint_leaving, {{"endpoint", info->id.value()}, {"source", "instance_list"}});
        if (known && info->state == routing::endpoint_state::leaving)
            leaving[info->id] = now() + record.leaves_in.value_or(assumed_notice);
        changes.put.push_back(std::move(*info));
    }
    std::erase_if(m_started, [&](const auto& entry) {
        if (listed.contains(entry.first))
            return false;
        changes.remove.push_back(entry.first);
        return true;
    });
    m_core.entries_in_domain = std::max<std::uint32_t>(entries, 1);
    if (!changes.put.empty() || !changes.remove.empty())
        m_core.table.publish(changes);
    if (!leaving.empty())
        m_on_leaving(std::move(leaving));
}

void platform_sync::report(const endpoint_id& endpoint, endpoint_report report)
{
    const auto started = m_started.find(endpoint);
    if (started != m_started.end())
        m_departed[endpoint] = started->second;
    if (m_core.table.mark_leaving({endpoint}) == 0)
        return;
    const auto& kind = report == endpoint_report::dead ? event::endpoint_dead : event::endpoint_leaving;
    log_event(kind, {{"endpoint", endpoint.value()}, {"source", "request"}});
    if (report == endpoint_report::leaving)
        m_on_leaving({{endpoint, now() + assumed_notice}});
}

void platform_sync::announce(const std::map<endpoint_id, monotonic_time>& gone_at)
{
    std::map<endpoint_id, monotonic_time> leaving;
    for (const auto& [endpoint, time] : gone_at) {
        if (const auto started = m_started.find(endpoint); started != m_started.end())
            m_departed[endpoint] = started->second;
        if (m_core.table.mark_leaving({endpoint}) == 0)
            continue;
        log_event(event::endpoint_leaving, {{"endpoint", endpoint.value()}, {"source", "reclaim_notice"}});
        leaving[endpoint] = time;
    }
    if (!leaving.empty())
        m_on_leaving(std::move(leaving));
}

} // namespace siskinwharf::entry
