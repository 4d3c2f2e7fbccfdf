// The part of peer_exchange that takes messages of peers.

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "endpoint_reports.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/exchange/exchange_error.h"
#include "siskinwharf/forwarding/peer_exchange.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

asio::awaitable<void> peer_exchange::receive_loop()
{
    std::vector<char> buffer(exchange::largest_datagram);
    udp::endpoint sender;
    while (true) {
        const auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(buffer), sender, use_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            receive(std::string_view(buffer.data(), size), sender.address().to_string());
    }
}

void peer_exchange::receive(std::string_view datagram, const std::string& ip)
{
    try {
        const auto visitor = [&](auto message) {
            take(std::move(message), ip);
        };
        std::visit(visitor, exchange::decode(datagram));
    } catch (const exchange::exchange_error& error) {
        log_event(event::peer_message_rejected, {{"address", ip}, {"reason", error.what()}});
    }
}

void peer_exchange::take(exchange::process_state state, const std::string& ip)
{
    const auto now = std::chrono::steady_clock::now();
    const auto known = m_table.peers().find(state.process);
    const bool is_new =
        known == m_table.peers().end() || !known->second.state || known->second.state->start != state.start;
    const auto copy = state;
    const auto loads_before = m_table.take(std::move(state), ip, now);
    if (!loads_before)
        return;
    if (is_new) {
        log_event(event::peer_alive, {{"peer", copy.process.value()}, {"address", ip}});
        if (copy.domain == m_settings.domain) {
            send(encode_state(now, detail::state), {ip, copy.port});
            // A process that has just started knows nothing of crashes.
            send(encode_reports(m_state, m_settings.instance, m_start, 0, now), {ip, copy.port});
        }
    }
    m_state.merge_peer_state(copy, now);
    // The loads of a peer that has just been found count from the next refresh on.
    if (!is_new)
        m_state.balancer().change_peer_loads(*loads_before, copy.loads);
}

void peer_exchange::take(const exchange::near_update& update, const std::string&)
{
    auto* entry = m_table.take(update, std::chrono::steady_clock::now());
    if (entry == nullptr)
        return;
    auto& known = entry->state->loads;
    auto loads = known;
    for (const auto& load : update.loads) {
        std::erase_if(loads, [&](const auto& other) { return other.endpoint == load.endpoint; });
        loads.push_back(load);
    }
    m_state.balancer().change_peer_loads(known, loads);
    known = std::move(loads);
    auto& configuration = entry->state->configuration;
    auto& list = entry->state->list;
    if (update.configuration <= configuration && update.list <= list)
        return;
    configuration = std::max(configuration, update.configuration);
    list = std::max(list, update.list);
    if (m_on_newer_versions)
        m_on_newer_versions();
}

void peer_exchange::take(const exchange::usage_update& update, const std::string&)
{
    if (!m_table.accepts(update))
        return;
    for (const auto& entry : update.usage) {
        if (update.domain.empty())
            m_state.ledger().merge(entry);
        else
            m_state.ledger().merge_domain(update.domain, entry);
    }
}

void peer_exchange::take(const exchange::quarantine_update& update, const std::string&)
{
    m_state.quarantine().merge(update.crashes, std::chrono::steady_clock::now());
}

void peer_exchange::take(const exchange::part_crash_update& update, const std::string&)
{
    m_state.merge_part_crashes(update.parts, std::chrono::steady_clock::now());
}

void peer_exchange::take(const exchange::endpoint_limit_update& update, const std::string&)
{
    m_state.merge_endpoint_limits(update.limits, std::chrono::steady_clock::now());
}

void peer_exchange::take(const exchange::stream_update& update, const std::string&)
{
    m_state.streams().merge(update.streams, std::chrono::steady_clock::now());
}

void peer_exchange::take(const exchange::stream_query& query, const std::string& ip)
{
    const auto known = m_state.streams().find(query.streams);
    for (const auto& update : exchange::stream_updates(m_settings.instance, m_start, known))
        send(exchange::encode(update), {ip, query.port});
}

void peer_exchange::take(const exchange::domain_report& report, const std::string& ip)
{
    m_table.take(report, ip, std::chrono::steady_clock::now());
}

void peer_exchange::take(const exchange::use_update& update, const std::string&)
{
    const auto now = std::chrono::steady_clock::now();
    m_table.take(update, now);
    if (update.domain.empty() && !m_table.is_relay(now))
        refresh(now);
}

void peer_exchange::take(const exchange::deployment_report& report, const std::string&)
{
    const auto now = std::chrono::steady_clock::now();
    m_table.take(report, now);
    if (!m_table.is_relay(now))
        refresh(now);
}

} // namespace siskinwharf::forwarding
