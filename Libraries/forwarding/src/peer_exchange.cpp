#include "siskinwharf/forwarding/peer_exchange.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/exchange/exchange_error.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

/// Minimum interval between state messages to a peer of the same region.
constexpr milliseconds minimum_interval{250};
/// With more peers than this the interval grows in proportion, so that the message rate of a process stays
/// constant.
constexpr std::size_t peers_at_minimum_interval = 12;
/// Maximum delivery time of a message between two regions.
constexpr milliseconds maximum_delivery_time{200};
/// A peer that has sent no message for this time may be dead or partitioned.
constexpr milliseconds suspect_after{2'500};
/// A peer that has sent no message for this time is considered dead.
constexpr milliseconds dead_after{60'000};
/// Minimum interval between two updates per receiving peer. Bounds the cost of updates in large failure
/// domains.
constexpr milliseconds update_interval_per_peer{2};
/// Interval between updates of a process that reads the store for its peers.
constexpr milliseconds reader_update_interval{250};
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, const process_settings& settings,
                             traffic_state& state, std::uint64_t start)
    : m_settings(settings),
      m_state(state),
      m_context(context),
      m_socket(context, udp::endpoint(asio::ip::make_address(settings.peers.ip), settings.peers.port)),
      m_seeds(settings.seeds),
      m_start(start),
      m_update_timer(context)
{
}

void peer_exchange::start()
{
    asio::co_spawn(m_context, receive_loop(), asio::detached);
    asio::co_spawn(m_context, send_loop(), asio::detached);
    asio::co_spawn(m_context, announce_store_reading(), asio::detached);
    m_state.balancer().on_changed_load([this] { schedule_update(); });
}

void peer_exchange::add_peers(const std::vector<registered_process>& processes)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& process : processes) {
        if (process.id == m_settings.instance)
            continue;
        auto& entry = m_peers[process.id];
        if (entry.address.port == 0)
            entry.listed = now;
        entry.address = {process.ip, process.port};
    }
}

milliseconds peer_exchange::interval() const
{
    const auto count = std::max(m_peers.size(), peers_at_minimum_interval);
    return minimum_interval * static_cast<std::int64_t>(count) /
           static_cast<std::int64_t>(peers_at_minimum_interval);
}

peer_exchange::peer_condition peer_exchange::condition_of(const peer& entry, monotonic_time now) const
{
    const auto last = std::max(entry.last_heard, entry.listed);
    if (now - last > dead_after || (entry.state && entry.state->is_leaving && now - last > suspect_after))
        return peer_condition::dead;
    const auto limit = std::max<nanoseconds>(suspect_after, interval() * 8);
    return entry.state && now - entry.last_heard <= limit ? peer_condition::alive : peer_condition::suspected;
}

asio::awaitable<void> peer_exchange::send_loop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        if (m_schedule.begins_round())
            refresh(now);
        send_slice(now);
        const auto slices = exchange::round_schedule::slices(m_peers.size());
        timer.expires_after(interval() / static_cast<std::int64_t>(slices));
        m_schedule.advance(m_peers.size());
        co_await timer.async_wait(use_tuple);
    }
}

void peer_exchange::send_slice(monotonic_time now)
{
    const auto datagrams = encode_state(now);
    std::size_t position = 0;
    for (const auto& [id, entry] : m_peers) {
        // A peer that has sent no message yet should learn of this process soon.
        const bool is_frequent = !entry.state || is_near(entry);
        if (m_schedule.is_due(position++, is_frequent, m_peers.size()))
            send(datagrams, entry.address);
    }
    if (!m_schedule.begins_round())
        return;
    for (const auto& seed : m_seeds) {
        const bool is_known =
            std::ranges::any_of(m_peers, [&](const auto& item) { return item.second.address.ip == seed.ip; });
        if (!is_known && seed.ip != m_settings.peers.ip)
            send(datagrams, seed);
    }
}

void peer_exchange::broadcast_state()
{
    const auto datagrams = encode_state(std::chrono::steady_clock::now());
    for (const auto& [id, entry] : m_peers)
        send(datagrams, entry.address);
}

std::vector<std::string> peer_exchange::encode_state(monotonic_time now)
{
    exchange::process_state own;
    own.process = m_settings.instance;
    own.start = m_start;
    own.sequence = ++m_sequence;
    own.port = m_settings.peers.port;
    own.is_leaving = m_is_leaving;
    own.lease_number = m_lease_number;
    own.list_version = m_list_version;
    own.domain = m_settings.domain;
    m_state.fill_message(own, now);
    std::vector<std::string> datagrams;
    for (const auto& update : exchange::usage_updates(own.process, own.start, m_state.usage_to_share(now)))
        datagrams.push_back(exchange::encode(update));
    datagrams.push_back(exchange::encode(own));
    return datagrams;
}

void peer_exchange::send(const std::vector<std::string>& datagrams, const settings::socket_address& address)
{
    for (const auto& datagram : datagrams)
        send(datagram, address);
}

void peer_exchange::send(const std::string& datagram, const settings::socket_address& address)
{
    boost::system::error_code error;
    const udp::endpoint target(asio::ip::make_address(address.ip, error), address.port);
    // A datagram that cannot be sent is treated as lost. The next one supersedes it.
    if (!error)
        m_socket.send_to(asio::buffer(datagram), target, 0, error);
}

bool peer_exchange::is_near(const peer& entry) const
{
    if (!entry.state)
        return false;
    const auto region = m_settings.regions.find(entry.state->domain);
    return region == m_settings.regions.end() || region->second == m_settings.region;
}

void peer_exchange::schedule_update()
{
    if (std::exchange(m_is_update_due, true))
        return;
    const auto near = std::ranges::count_if(m_peers, [&](const auto& item) { return is_near(item.second); });
    m_update_timer.expires_at(m_updated + update_interval_per_peer * near);
    m_update_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            send_update();
    });
}

void peer_exchange::set_store_reading(bool is_reading, monotonic_time answered)
{
    m_is_reading = is_reading;
    m_store_answered = answered;
}

asio::awaitable<void> peer_exchange::announce_store_reading()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(reader_update_interval);
        co_await timer.async_wait(use_tuple);
        if (m_is_reading && shares_store())
            schedule_update();
    }
}

bool peer_exchange::is_store_reader() const
{
    return dispatch::is_store_reader(m_settings.instance, reader_candidates());
}

bool peer_exchange::shares_store() const
{
    return reader_candidates().size() + 1 >= dispatch::minimum_shared_domain_size;
}

std::vector<dispatch::store_reader_candidate> peer_exchange::reader_candidates() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<dispatch::store_reader_candidate> others;
    for (const auto& [id, entry] : m_peers) {
        if (condition_of(entry, now) != peer_condition::alive || entry.state->domain != m_settings.domain ||
            entry.state->is_leaving)
            continue;
        const auto age = std::chrono::duration_cast<milliseconds>(now - entry.store_answered);
        others.push_back({id, entry.is_reading, age});
    }
    return others;
}

void peer_exchange::send_update()
{
    m_is_update_due = false;
    m_updated = std::chrono::steady_clock::now();
    exchange::near_update update;
    update.process = m_settings.instance;
    update.start = m_start;
    update.loads = exchange::told_loads(m_state.balancer().take_changed_loads());
    update.configuration_version = m_state.configuration() ? m_state.configuration()->version() : 0;
    update.list_version = m_list_version;
    update.is_reading = m_is_reading;
    update.store_answer_age = std::chrono::duration_cast<milliseconds>(m_updated - m_store_answered);
    const auto datagram = exchange::encode(update);
    for (const auto& [id, entry] : m_peers) {
        if (is_near(entry))
            send(datagram, entry.address);
    }
}

void peer_exchange::refresh(monotonic_time now)
{
    std::vector<peer_view> views;
    for (const auto& [id, entry] : m_peers) {
        const auto condition = condition_of(entry, now);
        if (condition == peer_condition::dead)
            continue;
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - std::max(entry.last_heard, entry.listed));
        views.push_back({entry.state ? &*entry.state : nullptr, age, condition == peer_condition::alive});
        if (entry.previous) {
            const auto previous_age = std::chrono::duration_cast<milliseconds>(now - entry.previous_heard);
            views.push_back({&*entry.previous, previous_age, false, true});
        }
    }
    m_state.set_peers(views, now);
    std::erase_if(m_peers, [&](const auto& item) {
        if (condition_of(item.second, now) != peer_condition::dead)
            return false;
        log_event(event::peer_dead, {{"peer", item.first.value()}});
        return true;
    });
}

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
        auto message = exchange::decode(datagram);
        if (auto* state = std::get_if<exchange::process_state>(&message))
            take(std::move(*state), ip);
        else if (const auto* update = std::get_if<exchange::near_update>(&message))
            take(*update);
        else
            take(std::get<exchange::usage_update>(message));
    } catch (const exchange::exchange_error& error) {
        log_event(event::peer_message_rejected, {{"address", ip}, {"reason", error.what()}});
    }
}

void peer_exchange::take(exchange::process_state state, const std::string& ip)
{
    if (state.process == m_settings.instance)
        return;
    const auto now = std::chrono::steady_clock::now();
    auto& entry = m_peers[state.process];
    const bool is_older =
        entry.state && entry.state->start == state.start && entry.state->sequence >= state.sequence;
    if (is_older)
        return;
    if (entry.state && entry.state->start != state.start) {
        entry.previous = std::move(entry.state);
        entry.previous_heard = entry.last_heard;
        entry.state.reset();
    }
    if (!entry.state)
        log_event(event::peer_alive, {{"peer", state.process.value()}, {"address", ip}});
    entry.address = {ip, state.port};
    entry.last_heard = now;
    m_state.merge_peer_state(state, now);
    if (entry.state)
        m_state.balancer().change_peer_loads(entry.state->loads, state.loads);
    entry.state = std::move(state);
}

void peer_exchange::take(const exchange::near_update& update)
{
    const auto found = m_peers.find(update.process);
    if (found == m_peers.end() || !found->second.state || found->second.state->start != update.start)
        return;
    auto& entry = found->second;
    entry.is_reading = update.is_reading;
    entry.store_answered = std::chrono::steady_clock::now() - update.store_answer_age;
    auto& known = entry.state->loads;
    auto loads = known;
    for (const auto& load : update.loads) {
        std::erase_if(loads, [&](const auto& other) { return other.endpoint == load.endpoint; });
        loads.push_back(load);
    }
    m_state.balancer().change_peer_loads(known, loads);
    known = std::move(loads);
    auto& configuration = entry.state->configuration_version;
    auto& list = entry.state->list_version;
    if (update.configuration_version <= configuration && update.list_version <= list)
        return;
    configuration = std::max(configuration, update.configuration_version);
    list = std::max(list, update.list_version);
    if (m_on_newer_versions)
        m_on_newer_versions();
}

void peer_exchange::take(const exchange::usage_update& update)
{
    if (update.process == m_settings.instance)
        return;
    for (const auto& entry : update.usage)
        m_state.ledger().merge(entry);
}

bool peer_exchange::has_live_lease_holder() const
{
    constexpr milliseconds lease_holder_timeout{1'500};
    const auto now = std::chrono::steady_clock::now();
    return std::ranges::any_of(m_peers, [&](const auto& item) {
        const auto& entry = item.second;
        const auto limit = std::max<nanoseconds>(lease_holder_timeout, interval() * 4);
        return entry.state && entry.state->lease_number != 0 && now - entry.last_heard <= limit;
    });
}

std::optional<newer_peer> peer_exchange::find_newer_peer() const
{
    const auto own = m_state.configuration() ? m_state.configuration()->version() : 0;
    std::optional<newer_peer> best;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [id, entry] : m_peers) {
        if (condition_of(entry, now) != peer_condition::alive)
            continue;
        const bool is_newer =
            entry.state->configuration_version > own || entry.state->list_version > m_list_version;
        const std::pair versions(entry.state->configuration_version, entry.state->list_version);
        if (is_newer && (!best || versions > std::pair(best->configuration_version, best->list_version)))
            best = newer_peer{entry.address, versions.first, versions.second};
    }
    return best;
}

std::map<failure_domain_id, exchange::service_demand>
peer_exchange::demand_of(const service_id& service) const
{
    std::map<failure_domain_id, exchange::service_demand> result;
    const auto now = std::chrono::steady_clock::now();
    const auto add = [&](const failure_domain_id& domain, const exchange::service_demand& demand) {
        auto& sum = result[domain];
        sum.service = service;
        sum.tokens_per_second += demand.tokens_per_second;
        sum.running += demand.running;
    };
    add(m_settings.domain, m_state.demand_of(service, now));
    for (const auto& [id, entry] : m_peers) {
        if (condition_of(entry, now) != peer_condition::alive)
            continue;
        for (const auto& demand : entry.state->services) {
            if (demand.service == service)
                add(entry.state->domain, demand);
        }
    }
    return result;
}

monotonic_time peer_exchange::counts_complete_until(monotonic_time now) const
{
    auto result = now;
    for (const auto& [id, entry] : m_peers) {
        const bool has_counts = entry.state && !entry.state->is_leaving;
        if (has_counts && condition_of(entry, now) != peer_condition::dead)
            result = std::min(result, entry.last_heard);
    }
    // Counts made shortly before may still be in transit.
    return result - maximum_delivery_time;
}

} // namespace siskinwharf::forwarding
