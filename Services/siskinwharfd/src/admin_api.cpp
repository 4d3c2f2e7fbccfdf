#include "admin_api.h"

#include <map>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "siskinwharf/telemetry/memory_metrics.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

http::response text_response(std::string body, std::string type)
{
    return {200, {{"Content-Type", std::move(type)}}, std::move(body)};
}

std::string_view to_text(routing::endpoint_state state)
{
    switch (state) {
    case routing::endpoint_state::live:
        return "live";
    case routing::endpoint_state::leaving:
        return "leaving";
    case routing::endpoint_state::isolated:
        return "isolated";
    }
    return "unknown";
}

boost::json::array describe(const std::vector<peer::domain_summary>& summaries)
{
    boost::json::array result;
    for (const auto& summary : summaries) {
        for (const auto& row : summary.rows) {
            result.push_back({{"failure_domain", summary.domain.value()},
                              {"made_at_ms", summary.sequence},
                              {"model", row.model.value()},
                              {"version", row.version},
                              {"healthy", row.healthy},
                              {"free_slots", row.free_slots},
                              {"price", row.price}});
        }
    }
    return result;
}

std::string to_text(const routing::target& target)
{
    if (const auto* model = std::get_if<routing::model_target>(&target))
        return model->model.value() + "@" + model->version;
    return std::get<routing::service_target>(target).service.value();
}

} // namespace

admin_api::admin_api(entry_core& core, std::function<asio::awaitable<std::size_t>()> count_active)
    : m_core(core), m_count_active(std::move(count_active))
{
}

asio::awaitable<void> admin_api::handle(http::request message, http::response_writer& writer)
{
    http::response answer;
    if (message.path == "/status") {
        auto body = co_await render_status();
        answer = http::json_response(200, std::move(body));
    } else if (message.path == "/metrics") {
        telemetry::set_memory_metrics(m_core.metrics.registry(), *m_core.memory);
        answer = text_response(m_core.metrics.registry().render_prometheus(),
                               "text/plain; version=0.0.4; charset=utf-8");
    } else if (message.path == "/accounts") {
        answer = text_response(m_core.metrics.registry().render_table(), "text/plain; charset=utf-8");
    } else if (message.path == "/endpoints") {
        answer = text_response(render_endpoints(), "text/plain; charset=utf-8");
    } else {
        answer = http::to_response({http::refusal_type::not_found, "no such path"});
    }
    co_await writer.send(std::move(answer));
}

asio::awaitable<std::string> admin_api::render_status()
{
    boost::json::object body;
    body["instance"] = m_core.settings.instance.value();
    body["failure_domain"] = m_core.settings.failure_domain.value();
    body["region"] = m_core.settings.region.value();
    body["sheet_version"] = m_core.sheets.version();
    body["ready"] = m_core.is_ready(now()) && !m_core.stopping;
    body["stopping"] = m_core.stopping.load();
    body["active_requests"] = co_await m_count_active();
    body["waiting_requests"] = m_core.gate.waiting();
    body["quarantine_entries"] = m_core.quarantine.size();
    body["instance_list_version"] = m_core.instance_list_version.load();
    body["reads_instance_list"] = m_core.reads_instance_list.load();
    if (m_core.peer_counters) {
        const auto counters = m_core.peer_counters();
        body["peer_bytes"] = {
            {"sent", counters.datagram_bytes_sent + counters.stream_bytes_sent},
            {"received", counters.datagram_bytes_received + counters.stream_bytes_received}};
    }
    if (m_core.domain_summaries)
        body["domain_summaries"] = describe(m_core.domain_summaries());
    co_return boost::json::serialize(body);
}

std::string admin_api::render_endpoints() const
{
    std::map<endpoint_id, std::string> rows;
    const auto header = fmt::format("{:<24} {:<22} {:<24} {:<16} {:<9} {:>8} {:>7}\n", "endpoint", "address",
                                    "serves", "domain", "state", "capacity", "streams");
    {
        const routing::rcu_read_section section;
        for (const auto& [id, entry] : m_core.table.read(section).endpoints) {
            const auto& info = *entry.info;
            const auto address = fmt::format("{}:{}", info.address, info.port);
            rows[id] = fmt::format("{:<24} {:<22} {:<24} {:<16} {:<9} {:>8} {:>7}\n", id.value(), address,
                                   to_text(info.serves), info.domain.value(), to_text(info.state),
                                   info.capacity, entry.load->streams());
        }
    }
    std::string text = header;
    for (const auto& [id, row] : rows)
        text += row;
    return text;
}

} // namespace siskinwharf::entry
