#include "load_poller.h"

#include <map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "engine_calls.h"
#include "entry_core.h"
#include "siskinwharf/membership/polling.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds load_poll_timeout{1'000};

std::uint32_t number_of(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::uint32_t>() : 0;
}

} // namespace

load_poller::load_poller(asio::io_context& context, entry_core& core, http::client& client, load_ports ports)
    : m_context(context), m_core(core), m_client(client), m_ports(std::move(ports))
{
}

void load_poller::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void load_poller::receive(const peer::load_report& report)
{
    std::vector<membership::numbered_load> loads;
    for (const auto& load : report.loads)
        loads.push_back(m_repeats.receive(now(), load));
    apply(loads);
}

template<typename Condition>
std::vector<endpoint_id> load_poller::engines_where(Condition condition) const
{
    std::vector<endpoint_id> result;
    const routing::rcu_read_section section;
    for (const auto& [id, entry] : m_core.table.read(section).endpoints) {
        if (std::holds_alternative<routing::model_target>(entry.info->serves) && condition(entry))
            result.push_back(id);
    }
    return result;
}

std::vector<endpoint_id> load_poller::own_endpoints() const
{
    return engines_where(
        [this](const auto& entry) { return entry.info->domain == m_core.settings.failure_domain; });
}

std::vector<endpoint_id> load_poller::used_remote_endpoints() const
{
    return engines_where([this](const auto& entry) {
        return entry.info->domain != m_core.settings.failure_domain && entry.load->own_streams() > 0;
    });
}

asio::awaitable<void> load_poller::run()
{
    asio::steady_timer timer(m_context);
    std::size_t round = 0;
    while (true) {
        const auto digest = std::make_shared<peer::load_report>();
        const auto polled = membership::polled_endpoints(m_core.settings.instance, m_ports.working_members(),
                                                         own_endpoints());
        for (const auto& endpoint : polled)
            asio::co_spawn(m_context, poll(endpoint, digest), asio::detached);
        for (const auto& endpoint : used_remote_endpoints())
            asio::co_spawn(m_context, poll(endpoint, nullptr), asio::detached);
        timer.expires_after(membership::load_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto polls = membership::polls_per_send(m_ports.working_members().size());
        apply(m_repeats.due(now(), polls));
        if (++round % polls != 0)
            continue;
        const peer::load_report report{m_changes.select(now(), digest->loads)};
        if (report.loads.empty())
            continue;
        m_ports.send(report);
    }
}

asio::awaitable<void> load_poller::poll(endpoint_id endpoint, std::shared_ptr<peer::load_report> digest)
{
    const auto info = m_core.table.find_info(endpoint);
    if (!info)
        co_return;
    http::request message{"GET", "/load", "", {}, ""};
    const http::address target{info->address, info->port};
    try {
        const auto answer =
            co_await m_client.call(target, std::move(message), load_poll_timeout, true, maximum_load_bytes);
        if (digest)
            m_ports.on_probe(endpoint, true);
        boost::system::error_code error;
        const auto document = boost::json::parse(answer.body, error);
        if (error || !document.is_object())
            co_return;
        const auto& load = document.get_object();
        peer::load_digest entry;
        entry.endpoint_key = peer::endpoint_key(endpoint);
        entry.in_flight = number_of(load, "in_flight") + number_of(load, "queued");
        entry.free_slots = number_of(load, "free");
        entry.sequence = number_of(load, "sequence");
        if (digest)
            digest->loads.push_back(entry);
        apply(endpoint, membership::number_load(entry));
    } catch (const http::call_error&) {
        if (digest)
            m_ports.on_probe(endpoint, false);
    }
}

void load_poller::apply(const std::vector<membership::numbered_load>& loads)
{
    std::map<std::uint32_t, std::vector<endpoint_id>> by_key;
    for (const auto& endpoint : own_endpoints())
        by_key[peer::endpoint_key(endpoint)].push_back(endpoint);
    for (const auto& load : loads) {
        const auto found = by_key.find(load.digest.endpoint_key);
        if (found != by_key.end() && found->second.size() == 1)
            apply(found->second.front(), load);
    }
}

void load_poller::apply(const endpoint_id& endpoint, const membership::numbered_load& load)
{
    routing::load_report report;
    report.sequence = load.sequence;
    const auto time = now();
    report.measured_at = time - load.age;
    report.streams = load.digest.in_flight;
    m_core.table.apply_report(endpoint, report, time);
}

} // namespace siskinwharf::entry
