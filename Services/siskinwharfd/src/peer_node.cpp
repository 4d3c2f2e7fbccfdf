#include "peer_node.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/membership/polling.h"
#include "unix_time.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds request_timeout{1'000};
constexpr milliseconds handover_timeout{2'000};
constexpr milliseconds load_poll_period{500};
constexpr milliseconds load_poll_timeout{1'000};
/// With the 2.2 s until a poll of the table fails or finds a version, this leaves half of the 5 s in which an
/// accepted sheet must be in force.
constexpr milliseconds remote_sheet_poll_period{1'000};

peer::address contact_of(const settings::socket_address& address)
{
    return {address.ip, address.port};
}

const event_kind& event_of(membership::member_change change)
{
    switch (change) {
    case membership::member_change::alive:
        return event::peer_alive;
    case membership::member_change::suspected:
        return event::peer_suspected;
    case membership::member_change::dead:
        return event::peer_dead;
    case membership::member_change::left:
    case membership::member_change::leaving:
        return event::peer_leaving;
    }
    return event::peer_dead;
}

std::uint32_t number_of(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::uint32_t>() : 0;
}

} // namespace

peer_node::peer_node(asio::io_context& control, entry_core& core, http::client& client,
                     claim_committer& committer, peer_callbacks callbacks)
    : m_control(control),
      m_core(core),
      m_client(client),
      m_committer(committer),
      m_callbacks(std::move(callbacks)),
      m_members(membership::member_options{}, core.settings.instance,
                contact_of(core.settings.advertised_to_peers.value_or(core.settings.listen.peers)),
                unix_milliseconds())
{
}

void peer_node::start()
{
    peer::transport_options options;
    options.self = m_core.settings.instance;
    options.key = m_core.settings.peer_key;
    options.listen = contact_of(m_core.settings.listen.peers);
    options.first_sequence = unix_milliseconds() * 1000;
    options.seed = m_random();
    m_transport =
        std::make_unique<peer::peer_transport>(m_control.get_executor(), options, shared_from_this());
    asio::co_spawn(m_control, run_ticks(), asio::detached);
    asio::co_spawn(m_control, run_load_polls(), asio::detached);
    asio::co_spawn(m_control, run_remote_sheet_polls(), asio::detached);
}

void peer_node::stop()
{
    if (!m_transport)
        return;
    carry_out(m_members.leave(now()));
    m_transport->stop();
}

peer::transport_counters peer_node::counters() const
{
    return m_transport ? m_transport->counters() : peer::transport_counters{};
}

void peer_node::apply_instances(const std::vector<platform::instance_record>& records)
{
    std::vector<membership::listed_instance> listed;
    m_remote_entries.clear();
    for (const auto& record : records) {
        if (!std::holds_alternative<platform::serves_entry>(record.serves) || record.peer_port == 0)
            continue;
        const peer::address contact{record.address, record.peer_port};
        if (record.domain == m_core.settings.failure_domain)
            listed.push_back({record.id, contact, record.leaving});
        else
            m_remote_entries.emplace_back(record.id, contact);
    }
    carry_out(m_members.apply_instance_list(now(), listed));
}

void peer_node::announce(const std::vector<peer::endpoint_notice>& notices)
{
    if (!notices.empty())
        carry_out(m_members.announce(now(), notices));
}

void peer_node::relay(const std::vector<peer::endpoint_notice>& notices)
{
    m_members.relay(notices);
}

void peer_node::carry_out(membership::member_output output)
{
    for (auto& message : output.messages) {
        if (message.how == membership::delivery::datagram && m_transport)
            m_transport->send(message.recipient, message.contact, message.body);
        else if (message.how == membership::delivery::request)
            asio::co_spawn(m_control, exchange(std::move(message)), asio::detached);
    }
    for (const auto& [member, change] : output.events)
        log_event(event_of(change), {{"peer", member.value()}});
    m_core.entries_in_domain =
        static_cast<std::uint32_t>(std::max<std::size_t>(m_members.working_members().size(), 1));
    if (!output.notices.empty())
        m_callbacks.on_notices(output.notices);
}

asio::awaitable<void> peer_node::exchange(membership::outgoing_message message)
{
    const auto recipient = message.recipient;
    const auto contact = message.contact;
    auto result = co_await m_transport->request(recipient, contact, std::move(message.body), request_timeout);
    if (const auto* answer = std::get_if<peer::message>(&result))
        carry_out(m_members.receive(now(), m_random, recipient, contact, *answer));
}

asio::awaitable<void> peer_node::run_ticks()
{
    asio::steady_timer timer(m_control);
    while (true) {
        m_members.set_sheet_version(m_core.sheets.version());
        carry_out(m_members.tick(now(), m_random));
        if (auto known = m_members.newer_sheet(); known && !m_fetching_sheet)
            asio::co_spawn(m_control, fetch_sheet(std::move(*known)), asio::detached);
        timer.expires_after(membership::member_tick_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> peer_node::fetch_sheet(membership::member_table::known_sheet known)
{
    m_fetching_sheet = true;
    m_core.sheets.note_peer_version(known.version);
    co_await ask_for_sheet(known);
    m_fetching_sheet = false;
    // A peer announces versions of which it has no copy yet. The next announcement may name one that has it.
    if (m_core.sheets.version() < known.version)
        m_members.forget_newer_sheet(known.version);
}

asio::awaitable<void> peer_node::run_remote_sheet_polls()
{
    asio::steady_timer timer(m_control);
    while (true) {
        timer.expires_after(remote_sheet_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        // Probes stay within the failure domain. One that is cut from the platform as a whole learns of a new
        // sheet only from another.
        if (m_core.table_answers.load(std::memory_order_relaxed) || m_remote_entries.empty())
            continue;
        const auto& [holder, contact] = m_remote_entries[m_random() % m_remote_entries.size()];
        membership::member_table::known_sheet next{m_core.sheets.version() + 1, holder, contact};
        co_await ask_for_sheet(std::move(next));
    }
}

asio::awaitable<void> peer_node::ask_for_sheet(membership::member_table::known_sheet known)
{
    peer::message body = peer::sheet_request{known.version};
    auto result =
        co_await m_transport->request(known.holder, known.contact, std::move(body), request_timeout);
    const auto* answer = std::get_if<peer::message>(&result);
    const auto* reply = answer != nullptr ? std::get_if<peer::sheet_reply>(answer) : nullptr;
    if (reply == nullptr || reply->version == 0)
        co_return;
    const auto outcome = m_core.sheets.offer(reply->version, reply->text);
    if (outcome == sheet::offer_outcome::in_force)
        log_event(event::sheet_in_force,
                  {{"version", std::to_string(reply->version)}, {"source", known.holder.value()}});
    if (outcome == sheet::offer_outcome::invalid)
        m_core.sheets.drop_wanted(reply->version);
}

std::vector<endpoint_id> peer_node::own_endpoints() const
{
    std::vector<endpoint_id> result;
    const routing::rcu_read_section section;
    for (const auto& [id, entry] : m_core.table.read(section).endpoints) {
        if (entry.info->domain == m_core.settings.failure_domain &&
            std::holds_alternative<routing::model_target>(entry.info->serves))
            result.push_back(id);
    }
    return result;
}

asio::awaitable<void> peer_node::run_load_polls()
{
    asio::steady_timer timer(m_control);
    while (true) {
        const auto digest = std::make_shared<peer::load_report>();
        const auto polled = membership::polled_endpoints(m_core.settings.instance,
                                                         m_members.working_members(), own_endpoints());
        for (const auto& endpoint : polled)
            asio::co_spawn(m_control, poll_load(endpoint, digest), asio::detached);
        timer.expires_after(load_poll_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (digest->loads.empty())
            continue;
        for (const auto& member : working_peers())
            m_transport->send(member.member, member.contact, *digest);
    }
}

asio::awaitable<void> peer_node::poll_load(endpoint_id endpoint, std::shared_ptr<peer::load_report> digest)
{
    const auto info = m_core.table.find_info(endpoint);
    if (!info)
        co_return;
    http::request message{"GET", "/load", "", {}, ""};
    const http::address target{info->address, info->port};
    try {
        const auto answer = co_await m_client.call(target, std::move(message), load_poll_timeout);
        m_callbacks.on_probe(endpoint, true);
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
        digest->loads.push_back(entry);
        apply_load(endpoint, entry);
    } catch (const http::call_error&) {
        m_callbacks.on_probe(endpoint, false);
    }
}

void peer_node::apply_loads(const peer::load_report& report)
{
    std::map<std::uint32_t, std::vector<endpoint_id>> by_key;
    for (const auto& endpoint : own_endpoints())
        by_key[peer::endpoint_key(endpoint)].push_back(endpoint);
    for (const auto& load : report.loads) {
        const auto found = by_key.find(load.endpoint_key);
        if (found != by_key.end() && found->second.size() == 1)
            apply_load(found->second.front(), load);
    }
}

void peer_node::apply_load(const endpoint_id& endpoint, const peer::load_digest& load)
{
    routing::load_report report;
    report.sequence = load.sequence;
    report.measured_at = now();
    report.streams = load.in_flight;
    m_core.table.apply_report(endpoint, report, report.measured_at);
}

std::vector<membership::member_info> peer_node::working_peers() const
{
    auto result = m_members.members();
    std::erase_if(result, [](const auto& member) {
        return member.leaving ||
               (member.state != peer::member_state::alive && member.state != peer::member_state::suspected);
    });
    return result;
}

void peer_node::receive(peer::frame datagram, peer::address from)
{
    if (const auto* loads = std::get_if<peer::load_report>(&datagram.body)) {
        apply_loads(*loads);
        return;
    }
    carry_out(m_members.receive(now(), m_random, datagram.sender, from, datagram.body));
}

asio::awaitable<std::optional<peer::message>> peer_node::reply(peer::frame request)
{
    if (const auto* wanted = std::get_if<peer::sheet_request>(&request.body)) {
        const auto current = m_core.sheets.current();
        const bool has_it = current && (wanted->version == 0 || wanted->version <= current->version);
        co_return has_it ? peer::sheet_reply{current->version, current->text} : peer::sheet_reply{};
    }
    if (const auto* sought = std::get_if<peer::locate_request>(&request.body)) {
        const auto state = co_await m_callbacks.locate(sought->request);
        const auto holder = state == peer::locate_state::unknown ? instance_id{} : m_core.settings.instance;
        co_return peer::locate_reply{sought->request, state, holder};
    }
    if (const auto* handover = std::get_if<peer::handover_request>(&request.body)) {
        const auto id = handover->record.request;
        auto record = handover->record;
        const bool accepted = !m_core.stopping && co_await m_callbacks.adopt(std::move(record));
        co_return peer::handover_reply{id, accepted};
    }
    if (const auto* claim = std::get_if<peer::claim_status_request>(&request.body)) {
        const auto attempt = claim->attempt;
        const auto status = co_await m_committer.status(attempt);
        auto state = peer::claim_state::unknown;
        if (std::holds_alternative<claims::holder_running>(status))
            state = peer::claim_state::running;
        if (std::holds_alternative<claims::holder_abandoned>(status))
            state = peer::claim_state::voided;
        co_return peer::claim_status_reply{state, attempt};
    }
    auto output = m_members.receive(now(), m_random, request.sender, {}, request.body);
    std::optional<peer::message> answer;
    for (auto& message : output.messages) {
        if (message.how == membership::delivery::reply)
            answer = std::move(message.body);
    }
    if (auto* state = answer ? std::get_if<peer::member_sync>(&*answer) : nullptr)
        state->state.endpoints = m_callbacks.departed();
    std::erase_if(output.messages,
                  [](const auto& message) { return message.how == membership::delivery::reply; });
    carry_out(std::move(output));
    co_return answer;
}

asio::awaitable<std::optional<instance_id>> peer_node::locate(request_id request)
{
    for (const auto& member : working_peers()) {
        peer::message body = peer::locate_request{request};
        auto result =
            co_await m_transport->request(member.member, member.contact, std::move(body), request_timeout);
        const auto* answer = std::get_if<peer::message>(&result);
        const auto* reply = answer != nullptr ? std::get_if<peer::locate_reply>(answer) : nullptr;
        if (reply != nullptr && reply->state != peer::locate_state::unknown)
            co_return reply->holder;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> peer_node::hand_over(peer::request_record record)
{
    auto peers = working_peers();
    std::ranges::shuffle(peers, m_random);
    for (const auto& member : peers) {
        peer::message body = peer::handover_request{record};
        auto result =
            co_await m_transport->request(member.member, member.contact, std::move(body), handover_timeout);
        const auto* answer = std::get_if<peer::message>(&result);
        const auto* reply = answer != nullptr ? std::get_if<peer::handover_reply>(answer) : nullptr;
        if (reply != nullptr && reply->accepted) {
            log_event(event::request_handed_over,
                      {{"request", record.request.value()}, {"to", member.member.value()}});
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<claims::holder_reply>
peer_node::query_claim(std::string holder, claims::claim_identity identity, claims::attempt_number attempt)
{
    for (const auto& member : m_members.members()) {
        if (member.member.value() != holder)
            continue;
        peer::message body = peer::claim_status_request{identity.account, identity.key, attempt};
        auto result =
            co_await m_transport->request(member.member, member.contact, std::move(body), request_timeout);
        const auto* answer = std::get_if<peer::message>(&result);
        const auto* reply = answer != nullptr ? std::get_if<peer::claim_status_reply>(answer) : nullptr;
        if (reply == nullptr)
            co_return claims::holder_unknown{};
        if (reply->state == peer::claim_state::running)
            co_return claims::holder_running{};
        if (reply->state == peer::claim_state::voided)
            co_return claims::holder_abandoned{};
        co_return claims::holder_unknown{};
    }
    // FIXME: A holder in another failure domain is not asked; its claim ends as unknown until its row is
    // final.
    co_return claims::holder_unknown{};
}

} // namespace siskinwharf::entry
