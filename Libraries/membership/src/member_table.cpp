#include "siskinwharf/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>
#include <variant>

#include "gossip_queue.h"
#include "siskinwharf/peer/frame.h"

namespace siskinwharf::membership {

using peer::member_state;

namespace {

// Bytes of a datagram that news may fill: the frame's header, HMAC, the message's own fields and the updates
// about sender and recipient take less than the rest, with ids of up to 64 bytes and IPv6 addresses.
constexpr std::size_t news_budget = peer::datagram_limit - 560;

member_change change_to(member_state state)
{
    switch (state) {
    case member_state::alive:
        return member_change::alive;
    case member_state::suspected:
        return member_change::suspected;
    case member_state::dead:
        return member_change::dead;
    case member_state::left:
        return member_change::left;
    }
    return member_change::alive;
}

} // namespace

member_table::member_table(const member_options& options, instance_id self, peer::address contact,
                           std::uint64_t incarnation)
    : m_options(options),
      m_self(std::move(self)),
      m_contact(std::move(contact)),
      m_incarnation(std::max<std::uint64_t>(incarnation, 1)),
      m_news(std::make_unique<gossip_queue>())
{
}

member_table::member_table(member_table&&) noexcept = default;
member_table& member_table::operator=(member_table&&) noexcept = default;
member_table::~member_table() = default;

member_output member_table::receive(monotonic_time now, std::mt19937_64& random, const instance_id& sender,
                                    const peer::address& from, const peer::message& body)
{
    member_output output;
    if (sender == m_self)
        return output;
    if (const auto* request = std::get_if<peer::ping>(&body)) {
        apply_gossip(now, sender, from, request->news, output);
        output.messages.push_back(
            {sender, from, peer::ack{request->number, news_for(sender)}, delivery::datagram});
    } else if (const auto* answer = std::get_if<peer::ack>(&body)) {
        apply_gossip(now, sender, from, answer->news, output);
        handle(now, sender, from, *answer, output);
    } else if (const auto* indirect = std::get_if<peer::ping_request>(&body)) {
        apply_gossip(now, sender, from, indirect->news, output);
        handle(now, sender, from, *indirect, output);
    } else if (const auto* join = std::get_if<peer::member_join>(&body)) {
        apply_update(now, join->member, output);
        output.messages.push_back({sender, from, peer::member_sync{full_state()}, delivery::reply});
    } else if (const auto* sync = std::get_if<peer::member_sync>(&body)) {
        apply_gossip(now, sender, from, sync->state, output);
        m_synchronized = true;
        // Full states of several members must not come in step.
        std::uniform_int_distribution<std::int64_t> jitter(0, m_options.synchronization_period.count() / 2);
        m_next_synchronization =
            now + m_options.synchronization_period * 3 / 4 + milliseconds(jitter(random));
    } else if (const auto* direct = std::get_if<peer::endpoint_notices>(&body)) {
        output.notices = direct->notices;
        if (direct->number != 0)
            output.messages.push_back(
                {sender, from, peer::ack{direct->number, news_for(sender)}, delivery::datagram});
    }
    return output;
}

void member_table::apply_gossip(monotonic_time now, const instance_id& sender, const peer::address& from,
                                const peer::gossip& news, member_output& output)
{
    if (m_members.try_emplace(sender).second)
        m_members[sender].contact = from;
    for (const auto& update : news.members)
        apply_update(now, update, output);
    output.notices.insert(output.notices.end(), news.endpoints.begin(), news.endpoints.end());
    if (news.sheet_version > std::max(m_newest_sheet.version, m_sheet_version))
        m_newest_sheet = {news.sheet_version, sender, from};
}

void member_table::apply_update(monotonic_time now, const peer::member_update& update, member_output& output)
{
    if (update.member == m_self) {
        refute(update);
        return;
    }
    // Real incarnations start at 1; 0 stands for a member that was only listed.
    if (update.incarnation == 0)
        return;
    auto [position, added] = m_members.try_emplace(update.member);
    record& member = position->second;
    if (added)
        member.next_contact = now;
    if (std::tie(update.incarnation, update.state) <= std::tie(member.incarnation, member.state))
        return;
    const bool was_working = member.working();
    const member_state old_state = member.state;
    member.contact = update.contact;
    member.incarnation = update.incarnation;
    member.state = update.state;
    m_news->add(update, transmissions());
    // A suspicion at a higher incarnation is a new one: the member refuted the earlier one meanwhile.
    member.state_since = now;
    if (was_working && old_state == update.state)
        return;
    member.next_contact = now;
    // The end of a member that was never known is remembered, but nothing depended on it.
    if (!was_working && !member.working())
        return;
    if (!was_working && update.state == member_state::suspected)
        output.events.push_back({update.member, member_change::alive});
    output.events.push_back({update.member, change_to(update.state)});
}

// Only this process may raise its incarnation, which overrides every claim that it is not alive. The same
// happens to claims about an earlier process with this id whose clock was ahead.
void member_table::refute(const peer::member_update& update)
{
    const bool contradicts = update.incarnation > m_incarnation ||
                             (update.incarnation == m_incarnation && update.state != member_state::alive);
    if (!contradicts || m_left)
        return;
    m_incarnation = update.incarnation + 1;
    m_news->add(own_update(), transmissions());
}

void member_table::handle(monotonic_time now, const instance_id& sender, const peer::address& /*from*/,
                          const peer::ack& body, member_output& output)
{
    for (auto& item : m_announcements) {
        if (item.notices.number == body.number)
            item.unconfirmed.erase(sender);
    }
    // The number is enough: an indirect answer comes from the process that was asked to probe.
    if (m_probe && m_probe->number == body.number) {
        m_probe.reset();
        return;
    }
    const auto relayed = m_relayed.find(body.number);
    if (relayed == m_relayed.end())
        return;
    const relayed_probe request = relayed->second;
    m_relayed.erase(relayed);
    if (now <= request.expires_at) {
        output.messages.push_back({request.requester, request.contact,
                                   peer::ack{request.number, news_for(request.requester)},
                                   delivery::datagram});
    }
}

void member_table::handle(monotonic_time now, const instance_id& sender, const peer::address& from,
                          const peer::ping_request& body, member_output& output)
{
    if (body.target == m_self || m_left)
        return;
    const std::uint64_t number = m_next_number++;
    m_relayed[number] = {sender, from, body.number, now + m_options.probe_period};
    output.messages.push_back(
        {body.target, body.contact, peer::ping{number, news_for(body.target)}, delivery::datagram});
}

member_output member_table::apply_instance_list(monotonic_time now,
                                                const std::vector<listed_instance>& instances)
{
    member_output output;
    for (auto& [id, member] : m_members)
        member.listed = false;
    for (const auto& [instance, contact, leaving] : instances) {
        if (instance == m_self) {
            if (leaving && !m_self_leaving)
                output.events.push_back({m_self, member_change::leaving});
            m_self_leaving = m_self_leaving || leaving;
            continue;
        }
        const auto [position, added] = m_members.try_emplace(instance);
        record& member = position->second;
        member.listed = true;
        if (!member.known())
            member.contact = contact;
        if (added)
            member.next_contact = now;
        // The list lags, so a member that it once showed leaving stays so.
        if (leaving && !member.leaving && member.working())
            output.events.push_back({instance, member_change::leaving});
        member.leaving = member.leaving || leaving;
    }
    std::erase_if(m_members, [](const auto& entry) { return !entry.second.known() && !entry.second.listed; });
    return output;
}

member_output member_table::leave(monotonic_time /*now*/)
{
    member_output output;
    m_left = true;
    m_probe.reset();
    for (const auto& [id, member] : m_members) {
        if (member.working())
            send_ping(id, m_next_number++, output);
    }
    return output;
}

member_output member_table::announce(monotonic_time now, const std::vector<peer::endpoint_notice>& notices)
{
    member_output output;
    if (notices.empty())
        return output;
    relay(notices);
    for (auto& item : announcements_of(notices)) {
        send_unconfirmed(item, now, output);
        m_announcements.push_back(std::move(item));
    }
    return output;
}

void member_table::relay(const std::vector<peer::endpoint_notice>& notices)
{
    for (const auto& notice : notices)
        m_news->add(notice, transmissions());
}

void member_table::set_sheet_version(std::uint64_t version)
{
    m_sheet_version = std::max(m_sheet_version, version);
}

std::optional<member_table::known_sheet> member_table::newer_sheet() const
{
    if (m_newest_sheet.version <= m_sheet_version)
        return std::nullopt;
    return m_newest_sheet;
}

void member_table::forget_newer_sheet(std::uint64_t version)
{
    if (m_newest_sheet.version == version)
        m_newest_sheet = {};
}

std::vector<member_info> member_table::members() const
{
    std::vector<member_info> result;
    for (const auto& [id, member] : m_members) {
        if (member.known())
            result.push_back({id, member.contact, member.state, member.incarnation, member.leaving});
    }
    return result;
}

std::vector<instance_id> member_table::working_members() const
{
    std::vector<instance_id> result;
    for (const auto& [id, member] : m_members) {
        if (member.working() && !member.leaving)
            result.push_back(id);
    }
    if (!m_left && !m_self_leaving)
        result.insert(std::lower_bound(result.begin(), result.end(), m_self), m_self);
    return result;
}

void member_table::send_ping(const instance_id& recipient, std::uint64_t number, member_output& output)
{
    const auto& contact = m_members.at(recipient).contact;
    output.messages.push_back(
        {recipient, contact, peer::ping{number, news_for(recipient)}, delivery::datagram});
}

std::vector<member_table::announcement>
member_table::announcements_of(const std::vector<peer::endpoint_notice>& notices)
{
    std::set<instance_id> recipients;
    for (const auto& [id, member] : m_members) {
        if (member.working())
            recipients.insert(id);
    }
    std::vector<announcement> result;
    std::size_t left = 0;
    for (const auto& notice : notices) {
        const std::size_t size = encoded_size(notice);
        if (size > left) {
            result.push_back({{m_next_number++, {}}, recipients, m_options.announcements, {}});
            left = news_budget;
        }
        left -= std::min(left, size);
        result.back().notices.notices.push_back(notice);
    }
    return result;
}

void member_table::send_unconfirmed(announcement& item, monotonic_time now, member_output& output) const
{
    for (const auto& id : item.unconfirmed) {
        if (const auto found = m_members.find(id); found != m_members.end() && found->second.working())
            output.messages.push_back({id, found->second.contact, item.notices, delivery::datagram});
    }
    --item.remaining;
    item.next_at = now + m_options.announcement_period;
}

// Always tells the recipient about this process, so that an unknown one learns its incarnation, and about
// itself if it has something to refute.
peer::gossip member_table::news_for(const instance_id& recipient)
{
    peer::gossip news;
    news.sheet_version = std::max(m_sheet_version, m_newest_sheet.version);
    news.members.push_back(own_update());
    if (const auto found = m_members.find(recipient); found != m_members.end()) {
        const record& member = found->second;
        if (member.known() && member.state != member_state::alive)
            news.members.push_back({recipient, member.contact, member.state, member.incarnation});
    }
    m_news->append_to(news, news_budget);
    return news;
}

peer::gossip member_table::full_state() const
{
    peer::gossip state;
    state.sheet_version = m_sheet_version;
    state.members.push_back(own_update());
    for (const auto& [id, member] : m_members) {
        if (member.known())
            state.members.push_back({id, member.contact, member.state, member.incarnation});
    }
    return state;
}

peer::member_update member_table::own_update() const
{
    return {m_self, m_contact, m_left ? member_state::left : member_state::alive, m_incarnation};
}

std::uint32_t member_table::transmissions() const
{
    return m_options.transmissions_factor * static_cast<std::uint32_t>(std::bit_width(working_count() + 1));
}

std::size_t member_table::working_count() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                  [](const auto& entry) { return entry.second.working(); }));
}

} // namespace siskinwharf::membership
