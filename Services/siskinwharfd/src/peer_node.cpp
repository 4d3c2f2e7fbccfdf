#include "peer_node.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "claim_messages.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/membership/polling.h"
#include "unix_time.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds request_timeout{1'000};
constexpr milliseconds handover_timeout{2'000};
/// Claim writes to the committer of the failure domain use up to three.
constexpr std::size_t connections_per_peer = 4;
/// The work whose owner commits the claims of the failure domain.
constexpr std::string_view claim_work = "claims";
/// The whole list at full size has about 300 KB.
constexpr milliseconds instance_list_timeout{2'000};
/// With the 2.2 s until a poll of the table fails or finds a version, this leaves half of the 5 s in which an
/// accepted sheet must be in force.
constexpr milliseconds remote_sheet_poll_period{1'000};

peer::address contact_of(const settings::socket_address& address)
{
    return {address.ip, address.port};
}

/// Where peers reach this process.
peer::address own_contact(const settings::settings& settings)
{
    return contact_of(settings.advertised_to_peers.value_or(settings.listen.peers));
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

} // namespace

peer_node::peer_node(asio::io_context& control, entry_core& core, http::client& client,
                     claim_committer& committer, peer_callbacks callbacks)
    : m_control(control),
      m_core(core),
      m_committer(committer),
      m_callbacks(std::move(callbacks)),
      m_members(membership::member_options{}, core.settings.instance, own_contact(core.settings),
                unix_milliseconds()),
      m_loads(control, core, client, make_load_ports()),
      m_holders([this](instance_id holder, peer::address contact, peer::message body, milliseconds timeout) {
          return request_once(std::move(holder), std::move(contact), std::move(body), timeout);
      }),
      m_quarantine(control, core, make_peer_ports()),
      m_isolation(control, core, make_peer_ports())
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
    options.connections_per_peer = connections_per_peer;
    m_transport =
        std::make_unique<peer::peer_transport>(m_control.get_executor(), options, shared_from_this());
    asio::co_spawn(m_control, run_ticks(), asio::detached);
    m_loads.start();
    m_quarantine.start();
    m_isolation.start();
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

void peer_node::apply_instances(const std::vector<cloud::instance_record>& records)
{
    m_holders.update(records);
    std::vector<membership::listed_instance> listed;
    m_remote_entries.clear();
    for (const auto& record : records) {
        if (!std::holds_alternative<cloud::serves_entry>(record.serves) || record.peer_port == 0)
            continue;
        const peer::address contact{record.address, record.peer_port};
        if (record.domain == m_core.settings.failure_domain)
            listed.push_back({record.id, contact, record.leaving});
        else
            m_remote_entries.emplace_back(record.id, contact);
    }
    m_quarantine.set_listed_peers(std::ranges::count_if(listed, [this](const auto& each) {
        return each.instance != m_core.settings.instance && !each.leaving;
    }));
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

void peer_node::send(const peer::rollout_state& state)
{
    broadcast(state);
}

void peer_node::broadcast(const peer::message& body)
{
    for (const auto& member : working_peers())
        m_transport->send(member.member, member.contact, body);
}

asio::awaitable<std::optional<peer::message>> peer_node::call(instance_id recipient, peer::address contact,
                                                              peer::message body, milliseconds timeout)
{
    auto result =
        co_await m_transport->request(std::move(recipient), std::move(contact), std::move(body), timeout);
    auto* answer = std::get_if<peer::message>(&result);
    if (answer == nullptr)
        co_return std::nullopt;
    co_return std::move(*answer);
}

template<typename Reply>
asio::awaitable<std::optional<Reply>> peer_node::call_for(instance_id recipient, peer::address contact,
                                                          peer::message body, milliseconds timeout)
{
    auto answer = co_await call(std::move(recipient), std::move(contact), std::move(body), timeout);
    auto* reply = answer ? std::get_if<Reply>(&*answer) : nullptr;
    if (reply == nullptr)
        co_return std::nullopt;
    co_return std::move(*reply);
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
    const auto answer = co_await call(recipient, contact, std::move(message.body), request_timeout);
    if (answer)
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
    const auto reply =
        co_await call_for<peer::sheet_reply>(known.holder, known.contact, std::move(body), request_timeout);
    if (!reply || reply->version == 0) {
        note_missed_sheet(known.version);
        co_return;
    }
    const auto outcome = m_core.sheets.offer(reply->version, reply->text);
    if (outcome == sheet::offer_outcome::in_force)
        log_event(event::sheet_in_force,
                  {{"version", std::to_string(reply->version)}, {"source", known.holder.value()}});
    if (outcome == sheet::offer_outcome::invalid)
        m_core.sheets.drop_wanted(reply->version);
}

void peer_node::note_missed_sheet(std::uint64_t version)
{
    if (version <= m_missed_sheet)
        return;
    m_missed_sheet = version;
    m_callbacks.on_sheet_missed();
}

load_ports peer_node::make_load_ports()
{
    load_ports result;
    result.working_members = [this] {
        return m_members.working_members();
    };
    result.send = [this](const peer::load_report& report) {
        broadcast(report);
    };
    result.on_probe = [this](const endpoint_id& endpoint, bool answered) {
        m_callbacks.on_probe(endpoint, answered);
    };
    return result;
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

peer_ports peer_node::make_peer_ports()
{
    peer_ports result;
    result.peers = [this] {
        return working_peers();
    };
    result.send = [this](const membership::member_info& member, const peer::message& body) {
        m_transport->send(member.member, member.contact, body);
    };
    result.request = [this](membership::member_info member, peer::message body) {
        return call(std::move(member.member), std::move(member.contact), std::move(body), request_timeout);
    };
    return result;
}

void peer_node::receive(peer::frame datagram, peer::address from)
{
    if (const auto* loads = std::get_if<peer::load_report>(&datagram.body)) {
        m_loads.receive(*loads);
        return;
    }
    if (auto* changes = std::get_if<peer::instance_changes>(&datagram.body)) {
        m_callbacks.on_instance_changes(datagram.sender, from, std::move(*changes));
        return;
    }
    if (const auto* update = std::get_if<peer::quarantine_update>(&datagram.body)) {
        m_quarantine.receive(datagram.sender, *update);
        return;
    }
    if (const auto* rollout = std::get_if<peer::rollout_state>(&datagram.body)) {
        m_callbacks.on_rollout(*rollout);
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
    if (const auto* wanted = std::get_if<peer::instance_list_request>(&request.body))
        co_return m_callbacks.instance_list(*wanted);
    if (const auto* summaries = std::get_if<peer::summary_request>(&request.body))
        co_return m_callbacks.summaries(*summaries);
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
        co_return to_status_reply(status, attempt);
    }
    if (auto* claims = std::get_if<peer::claim_commit_request>(&request.body)) {
        auto wanted = std::move(*claims);
        co_return co_await m_callbacks.commit_claims(std::move(wanted));
    }
    if (const auto* update = std::get_if<peer::quarantine_update>(&request.body))
        co_return m_quarantine.reply(request.sender, *update);
    if (const auto* wanted = std::get_if<peer::isolation_request>(&request.body))
        co_return m_isolation.reply(request.sender, *wanted);
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

void peer_node::share(const peer::instance_changes& changes)
{
    for (const auto& member : working_peers()) {
        if (!m_transport->send(member.member, member.contact, changes))
            continue;
        // Too long for a datagram: without a base the recipient sees that it misses something and fetches it.
        peer::instance_changes news;
        news.version = changes.version;
        news.digest = changes.digest;
        m_transport->send(member.member, member.contact, news);
    }
}

asio::awaitable<std::optional<peer::instance_changes>>
peer_node::fetch_instances(std::optional<membership::member_info> from, peer::instance_list_request wanted)
{
    const auto peers = working_peers();
    if (!from && !peers.empty())
        from = peers[m_random() % peers.size()];
    if (!from)
        co_return std::nullopt;
    peer::message body = wanted;
    co_return co_await call_for<peer::instance_changes>(from->member, from->contact, std::move(body),
                                                        instance_list_timeout);
}

asio::awaitable<void> peer_node::join_seed()
{
    const auto& seeds = m_core.settings.peer_seeds;
    if (seeds.empty() || !working_peers().empty())
        co_return;
    const auto self = own_contact(m_core.settings);
    const auto contact = contact_of(seeds[m_next_seed++ % seeds.size()]);
    if (contact == self || contact == contact_of(m_core.settings.listen.peers))
        co_return;
    peer::message body = peer::member_join{
        {m_core.settings.instance, self, peer::member_state::alive, m_members.incarnation()}};
    // Only the address of a seed is known.
    instance_id unknown;
    const auto answer = co_await call(std::move(unknown), contact, std::move(body), request_timeout);
    const auto* sync = answer ? std::get_if<peer::member_sync>(&*answer) : nullptr;
    // The sender names itself first.
    if (sync == nullptr || sync->state.members.empty())
        co_return;
    const auto sender = sync->state.members.front().member;
    carry_out(m_members.receive(now(), m_random, sender, contact, *answer));
}

asio::awaitable<std::optional<peer::message>> peer_node::ask(membership::outgoing_message message)
{
    co_return co_await call(std::move(message.recipient), std::move(message.contact), std::move(message.body),
                            request_timeout);
}

asio::awaitable<std::optional<instance_id>> peer_node::locate(request_id request)
{
    for (const auto& member : working_peers()) {
        peer::message body = peer::locate_request{request};
        const auto reply = co_await call_for<peer::locate_reply>(member.member, member.contact,
                                                                 std::move(body), request_timeout);
        if (reply && reply->state != peer::locate_state::unknown)
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
        const auto reply = co_await call_for<peer::handover_reply>(member.member, member.contact,
                                                                   std::move(body), handover_timeout);
        if (reply && reply->accepted) {
            log_event(event::request_handed_over,
                      {{"request", record.request.value()}, {"to", member.member.value()}});
            co_return true;
        }
    }
    co_return false;
}

std::optional<claim_peer> peer_node::claim_committer_of_domain() const
{
    const auto owner = membership::work_owner(claim_work, m_members.working_members());
    for (const auto& member : m_members.members()) {
        if (owner && member.member == *owner && member.state == peer::member_state::alive)
            return claim_peer{member.member, member.contact};
    }
    return std::nullopt;
}

asio::awaitable<peer::request_result> peer_node::request_once(instance_id member, peer::address contact,
                                                              peer::message body, milliseconds timeout)
{
    if (!m_transport)
        co_return peer::transport_error(peer::peer_unreachable{});
    auto operation = m_transport->request(std::move(member), std::move(contact), std::move(body), timeout,
                                          peer::delivery_count::at_most_once);
    co_return co_await std::move(operation);
}

asio::awaitable<claims::holder_reply>
peer_node::query_claim(std::string holder, claims::claim_identity identity, claims::attempt_number attempt)
{
    std::optional<peer::address> contact;
    for (const auto& member : m_members.members()) {
        if (member.member.value() == holder)
            contact = member.contact;
    }
    auto operation =
        m_holders.ask(instance_id(std::move(holder)), std::move(contact), std::move(identity), attempt);
    co_return co_await std::move(operation);
}

} // namespace siskinwharf::entry
