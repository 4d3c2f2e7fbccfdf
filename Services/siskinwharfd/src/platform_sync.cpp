#include "platform_sync.h"

#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform_access_of.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/sheet/sheet_rows.h"
#include "unix_time.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t seconds_per_hour = 3600;
/// Time until a leaving endpoint is gone where nobody has said it. The shortest notice of the cloud API is
/// seconds.
constexpr milliseconds assumed_notice{2'000};

struct target_of_workload {
    std::optional<routing::target> operator()(const cloud::serves_entry&) const { return std::nullopt; }
    std::optional<routing::target> operator()(const cloud::serves_model& serves) const
    {
        return routing::model_target{serves.model, serves.version};
    }
    std::optional<routing::target> operator()(const cloud::serves_service& serves) const
    {
        return routing::service_target{serves.service};
    }
};

std::optional<routing::endpoint_info> to_endpoint(const cloud::instance_record& record)
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
    info.incarnation = record.started_ms;
    return info;
}

std::string_view to_text(membership::endpoint_source source)
{
    switch (source) {
    case membership::endpoint_source::instance_list:
        return "instance_list";
    case membership::endpoint_source::reclaim_notice:
        return "reclaim_notice";
    case membership::endpoint_source::refusal:
        return "request";
    case membership::endpoint_source::peer:
        return "peer";
    case membership::endpoint_source::probe:
        return "probe";
    }
    return "unknown";
}

} // namespace

platform_sync::platform_sync(asio::io_context& context, entry_core& core, http::client& client,
                             instance_feed_ports peers, observer watcher)
    : m_context(context),
      m_core(core),
      m_observer(std::move(watcher)),
      m_table(client, platform_access_of(core.settings)),
      m_instances(context, core, client, std::move(peers),
                  [this](const std::vector<cloud::instance_record>& records) { apply_instances(records); }),
      m_sheet_schedule(now()),
      m_sheet_timer(context)
{
}

void platform_sync::start()
{
    asio::co_spawn(m_context, poll_sheet(), asio::detached);
    m_instances.start();
}

void platform_sync::note_platform(bool answers)
{
    if (answers == m_platform_answers)
        return;
    m_platform_answers = answers;
    m_core.table_answers.store(answers, std::memory_order_relaxed);
    log_event(answers ? event::platform_available : event::platform_unavailable, {{"service", "table"}});
}

asio::awaitable<bool> platform_sync::fetch_sheet()
{
    const auto current = co_await m_table.read(std::string(sheet::current_key));
    const auto* row = std::get_if<std::optional<cloud::table_row>>(&current);
    if (row == nullptr)
        co_return false;
    const auto version = *row ? sheet::parse_version((*row)->value).value_or(0) : 0;
    m_core.sheets.note_table_version(version);
    if (version < m_core.sheets.version())
        co_await write_back(*row);
    if (version <= m_core.sheets.version())
        co_return true;
    // A process that starts during a rollout needs the versions of the preceding sheet as well.
    if (m_core.sheets.version() == 0 && version > 1) {
        const auto preceding = co_await m_table.read(sheet::version_key(version - 1));
        const auto* old = std::get_if<std::optional<cloud::table_row>>(&preceding);
        if (old != nullptr && *old)
            m_core.sheets.offer(version - 1, (*old)->value);
    }
    const auto content = co_await m_table.read(sheet::version_key(version));
    const auto* text = std::get_if<std::optional<cloud::table_row>>(&content);
    if (text == nullptr || !*text)
        co_return false;
    const auto result = m_core.sheets.offer(version, (*text)->value);
    if (result == sheet::offer_outcome::in_force)
        log_event(event::sheet_in_force, {{"version", std::to_string(version)}, {"source", "table"}});
    if (result == sheet::offer_outcome::invalid)
        log_event(event::sheet_rejected, {{"version", std::to_string(version)}, {"source", "table"}});
    co_return true;
}

asio::awaitable<void> platform_sync::write_back(std::optional<cloud::table_row> current)
{
    const auto row_version = current ? current->version : 0;
    if (m_corrected_row_version == row_version)
        co_return;
    const auto newest = m_core.sheets.current();
    const auto key = sheet::version_key(newest->version);
    const auto stored = co_await m_table.read(key);
    const auto* row = std::get_if<std::optional<cloud::table_row>>(&stored);
    if (row == nullptr)
        co_return;
    cloud::write_condition unchanged = cloud::require_absent{};
    if (current)
        unchanged = cloud::require_version{current->version};
    cloud::table_transaction transaction;
    transaction.writes.push_back(
        {std::string(sheet::current_key), std::to_string(newest->version), unchanged});
    if (!*row)
        transaction.writes.push_back({key, newest->text, cloud::require_absent{}});
    const auto result = co_await m_table.commit(std::move(transaction));
    if (std::holds_alternative<cloud::table_unavailable>(result))
        co_return;
    // After a conflict, another process or an operator has written.
    m_corrected_row_version = row_version;
    log_event(
        event::sheet_written_back,
        {{"version", std::to_string(newest->version)},
         {"outcome", std::holds_alternative<cloud::table_committed>(result) ? "done" : "not_confirmed"}});
}

asio::awaitable<void> platform_sync::poll_sheet()
{
    while (true) {
        // An earlier time may have been set during the wait.
        while (now() < m_sheet_schedule.next()) {
            m_sheet_timer.expires_at(m_sheet_schedule.next());
            co_await m_sheet_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        const bool answers = co_await fetch_sheet();
        note_platform(answers);
        if (answers)
            m_sheet_schedule.on_answer(now(), m_random());
        else
            m_sheet_schedule.on_no_answer(now(), m_random());
    }
}

void platform_sync::expedite_sheet()
{
    m_sheet_schedule.expedite(now(), m_random());
    m_sheet_timer.cancel();
}

void platform_sync::update_directory(const std::vector<cloud::instance_record>& records)
{
    std::vector<membership::listed_endpoint> listed;
    for (const auto& record : records) {
        const bool is_endpoint = !std::holds_alternative<cloud::serves_entry>(record.serves);
        if (!is_endpoint || record.domain != m_core.settings.failure_domain)
            continue;
        const endpoint_id id(record.id.value());
        if (record.leaving && !m_gone_at.contains(id))
            m_gone_at[id] = now() + record.leaves_in.value_or(assumed_notice);
        if (!record.leaving)
            m_gone_at.erase(id);
        listed.push_back({id, record.started_ms, record.leaving});
    }
    carry_out(m_directory.apply_instance_list(now(), listed));
}

void platform_sync::correct_state(routing::endpoint_info& info) const
{
    const bool own = info.domain == m_core.settings.failure_domain;
    if (own)
        m_versions.correct(info);
    if (own && m_directory.state_of(info.id) != peer::endpoint_state::live)
        info.state = routing::endpoint_state::leaving;
}

void platform_sync::apply_instances(const std::vector<cloud::instance_record>& records)
{
    update_directory(records);
    carry_out(m_versions.expire(now()));
    routing::table_changes changes;
    std::map<endpoint_id, monotonic_time> leaving;
    std::set<endpoint_id> listed;
    m_own_records.clear();
    for (const auto& record : records) {
        auto info = to_endpoint(record);
        if (!info)
            continue;
        listed.insert(info->id);
        if (info->domain == m_core.settings.failure_domain)
            m_own_records.emplace(info->id, record);
        correct_state(*info);
        const auto known = m_core.table.find_info(info->id);
        if (known && *known == *info)
            continue;
        if (!known)
            log_event(event::endpoint_added,
                      {{"endpoint", info->id.value()}, {"domain", info->domain.value()}});
        // Streams on an endpoint of another failure domain are moved as well.
        if (known && info->state == routing::endpoint_state::leaving &&
            known->state == routing::endpoint_state::live)
            leaving[info->id] = now() + record.leaves_in.value_or(assumed_notice);
        m_routed.insert(info->id);
        changes.put.push_back(std::move(*info));
    }
    m_versions.retain(listed);
    std::erase_if(m_routed, [&](const auto& id) {
        // An endpoint of the own failure domain that the list has lost stays until its probes fail.
        if (listed.contains(id) || m_directory.state_of(id) == peer::endpoint_state::live)
            return false;
        changes.remove.push_back(id);
        return true;
    });
    if (!changes.put.empty() || !changes.remove.empty())
        m_core.table.publish(changes);
    if (!leaving.empty())
        m_observer.on_leaving(std::move(leaving));
    m_observer.on_instances(records);
}

void platform_sync::carry_out(const membership::endpoint_changes& changes)
{
    std::map<endpoint_id, monotonic_time> leaving;
    for (const auto& [endpoint, state, source] : changes.events) {
        // The routing table is corrected with the next list, which would not come while nothing else changes.
        m_instances.request_list();
        if (state == peer::endpoint_state::live)
            continue;
        if (state == peer::endpoint_state::dead)
            m_core.crashes.note_death(endpoint, m_core.table, now());
        m_core.table.mark_leaving({endpoint});
        const auto& kind =
            state == peer::endpoint_state::dead ? event::endpoint_dead : event::endpoint_leaving;
        log_event(kind, {{"endpoint", endpoint.value()}, {"source", std::string(to_text(source))}});
        if (state != peer::endpoint_state::leaving)
            continue;
        const auto known = m_gone_at.find(endpoint);
        leaving[endpoint] = known == m_gone_at.end() ? now() + assumed_notice : known->second;
    }
    if (!leaving.empty())
        m_observer.on_leaving(std::move(leaving));
    if (!changes.announce.empty())
        m_observer.announce(changes.announce);
    if (!changes.relay.empty())
        m_observer.relay(changes.relay);
}

void platform_sync::carry_out(const endpoint_versions::changes& changes)
{
    routing::table_changes table;
    for (const auto& id : changes.changed) {
        const auto record = m_own_records.find(id);
        auto info = record == m_own_records.end() ? std::nullopt : to_endpoint(record->second);
        if (!info)
            continue;
        correct_state(*info);
        if (const auto* serves = std::get_if<routing::model_target>(&info->serves))
            log_event(event::endpoint_version, {{"endpoint", id.value()},
                                                {"model", serves->model.value()},
                                                {"version", serves->version},
                                                {"drained", changes.drained.contains(id) ? "yes" : "no"}});
        table.put.push_back(std::move(*info));
    }
    if (!table.put.empty())
        m_core.table.publish(table);
    if (!changes.restored.empty())
        m_observer.on_restored(changes.restored);
    if (!changes.drained.empty())
        m_observer.on_leaving(changes.drained);
}

void platform_sync::report(const endpoint_id& endpoint, endpoint_report report)
{
    if (report == endpoint_report::leaving) {
        carry_out(m_directory.report_leaving(now(), endpoint, membership::endpoint_source::refusal,
                                             unix_milliseconds()));
        return;
    }
    // An endpoint that refuses connections is dead for certain; a later probe that it answers brings it back.
    for (std::uint32_t probe = 0; probe < membership::probes_until_dead; ++probe)
        carry_out(m_directory.probe_failed(now(), endpoint));
}

void platform_sync::apply_notices(const std::vector<peer::endpoint_notice>& notices)
{
    carry_out(m_directory.apply_notices(now(), notices));
}

void platform_sync::probe_ended(const endpoint_id& endpoint, bool answered)
{
    carry_out(answered ? m_directory.probe_answered(now(), endpoint)
                       : m_directory.probe_failed(now(), endpoint));
}

void platform_sync::announce(const std::map<endpoint_id, monotonic_time>& gone_at)
{
    for (const auto& [endpoint, time] : gone_at) {
        m_gone_at[endpoint] = time;
        carry_out(m_directory.report_leaving(now(), endpoint, membership::endpoint_source::reclaim_notice,
                                             unix_milliseconds()));
    }
}

} // namespace siskinwharf::entry
