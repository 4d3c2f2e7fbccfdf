#include "siskinwharf/forwarding/peer_exchange.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "endpoint_reports.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

/// Minimum interval between two updates per receiving peer. Bounds the cost of updates in large failure
/// domains.
constexpr milliseconds update_interval_per_peer{2};
/// Interval between messages about streams that began, while several software versions serve.
constexpr milliseconds stream_interval{100};
/// Time in which streams that peers are asked for are collected into one message, and how many at most.
constexpr milliseconds query_delay{10};
constexpr std::size_t maximum_asked_streams = 4'000;
/// Interval between updates of a process that reads the store for its peers.
constexpr milliseconds reader_update_interval{250};
/// Interval between the state messages of a process to the relays of its failure domain.
constexpr milliseconds relay_interval{200};
/// Intervals of messages through relays, in multiples of `relay_interval`. Two relays of each failure domain
/// send in turn.
constexpr std::size_t refresh_turns = 2;
constexpr std::size_t deployment_report_turns = 4;
constexpr std::size_t domain_report_turns = 3;
constexpr std::size_t usage_turns = 5;
/// With more relays than this in other failure domains, the interval between reports to them grows in
/// proportion, so that the message rate of a relay stays constant.
constexpr std::size_t relays_at_minimum_interval = 10;
/// Time after which the usage counts of a process have been sent to a relay, or those of a failure domain to
/// the other relays.
constexpr milliseconds usage_delay = relay_interval * usage_turns;
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, const process_settings& settings,
                             traffic_state& state, std::uint64_t start)
    : m_settings(settings),
      m_state(state),
      m_context(context),
      m_socket(context, udp::endpoint(asio::ip::make_address(settings.peers.ip), settings.peers.port)),
      m_table(settings),
      m_seeds(settings.seeds),
      m_start(start),
      m_update_timer(context),
      m_query_timer(context)
{
}

void peer_exchange::start()
{
    asio::co_spawn(m_context, receive_loop(), asio::detached);
    asio::co_spawn(m_context, send_loop(), asio::detached);
    asio::co_spawn(m_context, relay_loop(), asio::detached);
    asio::co_spawn(m_context, announce_store_reading(), asio::detached);
    asio::co_spawn(m_context, stream_loop(), asio::detached);
    m_state.balancer().on_changed_load([this] { schedule_update(); });
}

void peer_exchange::set_registrations(const std::vector<process_registration>& read)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<settings::socket_address> found;
    for (const auto& process : m_table.set_registrations(read, now)) {
        if (process.domain == m_settings.domain)
            found.push_back({process.ip, process.port});
    }
    // A round may take seconds, and until then this process would do alone what others do for it.
    const auto state = encode_state(now, detail::state);
    for (const auto& address : found)
        send(state, address);
}

void peer_exchange::set_lease_number(std::uint64_t fencing)
{
    m_lease_number = fencing;
    m_table.set_lease_number(fencing);
}

asio::awaitable<void> peer_exchange::send_loop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        if (m_schedule.begins_round())
            refresh(now);
        send_slice(now);
        const auto slices = exchange::round_schedule::slices(m_table.peers().size());
        timer.expires_after(m_table.interval() / static_cast<std::int64_t>(slices));
        m_schedule.advance(m_table.peers().size());
        co_await timer.async_wait(use_tuple);
    }
}

void peer_exchange::send_slice(monotonic_time now)
{
    const auto& peers = m_table.peers();
    const auto near = encode_state(now, m_table.uses_relays() ? detail::state : detail::state_and_usage);
    const auto far = m_table.uses_relays() ? encode_state(now, detail::presence) : near;
    std::size_t position = 0;
    for (const auto& [id, entry] : peers) {
        // A peer that has sent no message yet should learn of this process soon.
        const bool is_frequent = !entry.state || m_table.is_near(entry);
        if (m_schedule.is_due(position++, is_frequent, peers.size()))
            send(m_table.is_near(entry) ? near : far, entry.address);
    }
    if (!m_schedule.begins_round())
        return;
    for (const auto& seed : m_seeds) {
        const bool is_known =
            std::ranges::any_of(peers, [&](const auto& item) { return item.second.address.ip == seed.ip; });
        if (!is_known && seed.ip != m_settings.peers.ip)
            send(far, seed);
    }
}

asio::awaitable<void> peer_exchange::stream_loop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(m_table.uses_relays() ? relay_interval : stream_interval);
        co_await timer.async_wait(use_tuple);
        const auto now = std::chrono::steady_clock::now();
        auto& streams = m_state.streams();
        const auto keepers = m_table.stream_keepers(now);
        const auto news = streams.take_news(m_state.software(), now);
        send_origins(news, m_table.stream_listeners());
        // The listeners may be lost with their failure domain.
        if (m_table.uses_relays())
            send_origins(news, keepers);
        if (!keepers.empty())
            send_origins(streams.take_copies(m_state.software(), now), keepers);
    }
}

void peer_exchange::send_origins(const std::vector<dispatch::stream_origin>& streams,
                                 const std::vector<settings::socket_address>& addresses)
{
    for (const auto& update : exchange::stream_updates(m_settings.instance, m_start, streams)) {
        const auto datagram = exchange::encode(update);
        for (const auto& address : addresses)
            send(datagram, address);
    }
}

void peer_exchange::ask_origin(std::uint64_t stream)
{
    if (m_asked_streams.size() >= maximum_asked_streams)
        return;
    m_asked_streams.push_back(stream);
    if (m_asked_streams.size() > 1)
        return;
    m_query_timer.expires_after(query_delay);
    m_query_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            send_queries();
    });
}

void peer_exchange::send_queries()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& query :
         exchange::stream_queries(m_settings.instance, m_start, std::exchange(m_asked_streams, {}))) {
        query.port = m_settings.peers.port;
        const auto datagram = exchange::encode(query);
        for (const auto& address : m_table.stream_sources(now))
            send(datagram, address);
    }
}

asio::awaitable<void> peer_exchange::relay_loop()
{
    asio::steady_timer timer(m_context);
    for (std::size_t turn = 0;; ++turn) {
        timer.expires_after(relay_interval);
        co_await timer.async_wait(use_tuple);
        if (m_table.uses_relays())
            take_relay_turn(turn, std::chrono::steady_clock::now());
    }
}

void peer_exchange::take_relay_turn(std::size_t turn, monotonic_time now)
{
    if (turn % refresh_turns == 0 || m_table.is_relay(now))
        refresh(now);
    const auto state = encode_state(now, turn % usage_turns == 0 ? detail::state_and_usage : detail::state);
    for (const auto& relay : m_table.relays(now))
        send(state, relay);
    if (!m_table.is_relay(now))
        return;
    const auto members = m_table.domain_peers();
    for (std::size_t index = 0; index < members.size(); ++index) {
        if ((turn + index) % deployment_report_turns == 0) {
            send(encode_deployment_report(*members[index], now), members[index]->address);
            continue;
        }
        const auto use =
            m_state.quotas().use_without(view_of(*members[index], now), account_selection::near_limit, now);
        if (!use.empty())
            send(encode_use_update({}, use), members[index]->address);
    }
    send_domain_reports(turn, now);
}

void peer_exchange::send_domain_reports(std::size_t turn, monotonic_time now)
{
    const auto relays = m_table.relays_of_other_domains(now);
    const auto factor = std::max<std::size_t>(
        (relays.size() + relays_at_minimum_interval - 1) / relays_at_minimum_interval, 1);
    const auto turns = domain_report_turns * factor;
    const auto report = encode_domain_report(now);
    const auto use = m_state.quotas().domain_use(account_selection::near_limit, now);
    const auto update = use.empty() ? std::string() : encode_use_update(m_settings.domain, use);
    for (std::size_t index = 0; index < relays.size(); ++index) {
        if ((turn + index) % turns == 0)
            send(report, relays[index]);
        else if (!update.empty() && (turn + index) % factor == 0)
            send(update, relays[index]);
    }
}

std::vector<std::string> peer_exchange::encode_domain_report(monotonic_time now)
{
    exchange::domain_report report;
    report.process = m_settings.instance;
    report.start = m_start;
    report.sequence = ++m_sequence;
    report.domain = m_settings.domain;
    report.processes = static_cast<std::uint32_t>(m_table.domain_peers().size() + 1);
    report.coverage = m_state.quotas().domain_coverage();
    report.accounts = m_state.quotas().domain_use(account_selection::all, now);
    report.configuration = m_versions.configuration;
    report.list = m_versions.list;
    report.port = m_settings.peers.port;
    report.lease = lease_sighting(now);
    const auto complete_until = m_table.domain_counts_complete_until(now) - usage_delay;
    report.counts_age = std::chrono::duration_cast<milliseconds>(now - complete_until);
    std::vector<std::string> datagrams;
    for (const auto& update : exchange::usage_updates(m_settings.instance, m_start,
                                                      m_state.domain_usage_to_share(now), m_settings.domain))
        datagrams.push_back(exchange::encode(update));
    report.services = domain_demands();
    datagrams.push_back(exchange::encode(report));
    return datagrams;
}

peer_view peer_exchange::view_of(const peer_table::peer& receiver, monotonic_time now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - receiver.last_heard);
    return {&*receiver.state, age, true};
}

std::string peer_exchange::encode_use_update(const failure_domain_id& domain,
                                             std::vector<exchange::account_use> use)
{
    return exchange::encode(
        exchange::use_update{m_settings.instance, m_start, ++m_sequence, domain, std::move(use)});
}

std::string peer_exchange::encode_deployment_report(const peer_table::peer& receiver, monotonic_time now)
{
    exchange::deployment_report report;
    report.process = m_settings.instance;
    report.start = m_start;
    report.sequence = ++m_sequence;
    report.processes = static_cast<std::uint32_t>(m_state.processes() - 1);
    report.coverage = m_state.quotas().coverage();
    report.accounts = m_state.quotas().use_without(view_of(receiver, now), account_selection::all, now);
    report.lease = lease_sighting(now);
    return exchange::encode(report);
}

exchange::lease_sighting peer_exchange::lease_sighting(monotonic_time now) const
{
    if (m_lease_number != 0)
        return {m_lease_number, milliseconds(0)};
    return m_table.lease_sighting(now);
}

std::vector<exchange::service_demand> peer_exchange::domain_demands() const
{
    std::vector<exchange::service_demand> result;
    if (const auto& snapshot = m_state.configuration()) {
        for (const auto& service : snapshot->content().services)
            result.push_back(demand_of(service.id)[m_settings.domain]);
    }
    return result;
}

void peer_exchange::broadcast_state()
{
    const auto datagrams = encode_state(std::chrono::steady_clock::now(), detail::state_and_usage);
    for (const auto& [id, entry] : m_table.peers())
        send(datagrams, entry.address);
}

std::vector<std::string> peer_exchange::encode_state(monotonic_time now, detail part)
{
    exchange::process_state own;
    own.process = m_settings.instance;
    own.start = m_start;
    own.sequence = ++m_sequence;
    own.port = m_settings.peers.port;
    own.is_leaving = m_is_leaving;
    own.lease_number = m_lease_number;
    own.configuration = m_versions.configuration;
    own.list = m_versions.list;
    own.era_age = std::chrono::duration_cast<milliseconds>(now - m_era_known_since);
    own.domain = m_settings.domain;
    m_state.fill_message(own, now);
    std::vector<std::string> datagrams;
    if (part == detail::state_and_usage) {
        for (const auto& update :
             exchange::usage_updates(own.process, own.start, m_state.usage_to_share(now)))
            datagrams.push_back(exchange::encode(update));
    }
    if (part == detail::presence) {
        own.loads.clear();
        own.accounts.clear();
        own.services.clear();
    }
    datagrams.push_back(exchange::encode(own));
    for (auto& report : encode_reports(m_state, own.process, own.start, own.sequence, now))
        datagrams.push_back(std::move(report));
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

void peer_exchange::schedule_update()
{
    if (std::exchange(m_is_update_due, true))
        return;
    const auto near = std::ranges::count_if(m_table.peers(),
                                            [&](const auto& item) { return m_table.is_near(item.second); });
    m_update_timer.expires_at(m_updated + update_interval_per_peer * near);
    m_update_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            send_update();
    });
}

void peer_exchange::set_versions(const known_versions& versions)
{
    if (m_era_known_since == monotonic_time{} || versions.list.era != m_versions.list.era)
        m_era_known_since = std::chrono::steady_clock::now();
    m_versions = versions;
}

monotonic_time peer_exchange::era_known_since() const
{
    return m_table.era_known_since(m_versions.list.era, m_era_known_since);
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
    return dispatch::is_store_reader(m_settings.instance,
                                     m_table.reader_candidates(std::chrono::steady_clock::now()));
}

bool peer_exchange::shares_store() const
{
    const auto candidates = m_table.reader_candidates(std::chrono::steady_clock::now());
    return candidates.size() + 1 >= dispatch::minimum_shared_domain_size;
}

void peer_exchange::send_update()
{
    m_is_update_due = false;
    m_updated = std::chrono::steady_clock::now();
    exchange::near_update update;
    update.process = m_settings.instance;
    update.start = m_start;
    update.loads = exchange::select_loads(m_state.balancer().take_changed_loads());
    update.configuration = m_versions.configuration;
    update.list = m_versions.list;
    update.is_reading = m_is_reading;
    update.store_answer_age = std::chrono::duration_cast<milliseconds>(m_updated - m_store_answered);
    const auto datagram = exchange::encode(update);
    for (const auto& [id, entry] : m_table.peers()) {
        if (m_table.is_near(entry))
            send(datagram, entry.address);
    }
}

void peer_exchange::refresh(monotonic_time now)
{
    m_state.set_peers(m_table.view(now), now);
    for (const auto& id : m_table.remove_dead(now))
        log_event(event::peer_dead, {{"peer", id.value()}});
}

bool peer_exchange::has_live_lease_holder() const
{
    return m_table.has_live_lease_holder(std::chrono::steady_clock::now());
}

std::optional<monotonic_time> peer_exchange::next_expiry() const
{
    return m_table.next_expiry(std::chrono::steady_clock::now());
}

bool peer_exchange::relies_on_relays() const
{
    return m_table.uses_relays() && !m_table.is_relay(std::chrono::steady_clock::now());
}

std::vector<dispatch::helper> peer_exchange::helpers() const
{
    return m_table.helpers(std::chrono::steady_clock::now());
}

std::vector<update_offer> peer_exchange::offers(shared_item item) const
{
    return m_table.offers(item, m_versions, std::chrono::steady_clock::now());
}

std::map<failure_domain_id, exchange::service_demand>
peer_exchange::demand_of(const service_id& service) const
{
    const auto now = std::chrono::steady_clock::now();
    auto result = m_table.demand_of(service, now);
    const auto own = m_state.demand_of(service, now);
    auto& sum = result[m_settings.domain];
    sum.service = service;
    sum.tokens_per_second += own.tokens_per_second;
    sum.running += own.running;
    return result;
}

monotonic_time peer_exchange::counts_complete_until(monotonic_time now) const
{
    const auto complete = m_table.counts_complete_until(now);
    return m_table.uses_relays() ? complete - usage_delay : complete;
}

} // namespace siskinwharf::forwarding
