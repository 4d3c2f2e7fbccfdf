// The timed part of member_table: probes, suspicion, reconnection and synchronization.
#include <algorithm>
#include <vector>

#include "gossip_queue.h"
#include "siskinwharf/membership/member_table.h"

namespace siskinwharf::membership {

using peer::member_state;

member_output member_table::tick(monotonic_time now, std::mt19937_64& random)
{
    member_output output;
    skip_frozen_time(now);
    repeat_announcements(now, output);
    if (m_left)
        return output;
    advance_probe(now, random, output);
    expire_suspicions(now, output);
    contact_silent_members(now, random, output);
    synchronize(now, random, output);
    forget_departed(now);
    return output;
}

// While this process was frozen, answers could not reach it. Its probe counts as not made, and suspicions
// last as much longer as it was frozen, so that it does not declare the others dead when it wakes up.
void member_table::skip_frozen_time(monotonic_time now)
{
    if (m_last_tick && now - *m_last_tick > m_options.longest_tick_gap) {
        const auto frozen = now - *m_last_tick;
        m_probe.reset();
        for (auto& [id, member] : m_members) {
            if (member.state == member_state::suspected)
                member.state_since += frozen;
        }
    }
    m_last_tick = now;
}

void member_table::advance_probe(monotonic_time now, std::mt19937_64& random, member_output& output)
{
    std::erase_if(m_relayed, [now](const auto& entry) { return entry.second.expires_at < now; });
    if (m_probe && now >= m_probe->ends_at) {
        const instance_id target = m_probe->target;
        m_probe.reset();
        if (const auto found = m_members.find(target);
            found != m_members.end() && found->second.state == member_state::alive) {
            const record& member = found->second;
            apply_update(now, {target, member.contact, member_state::suspected, member.incarnation}, output);
        }
    }
    if (m_probe && !m_probe->indirect_sent && now >= m_probe->indirect_at) {
        m_probe->indirect_sent = true;
        send_indirect_probes(random, output);
    }
    if (now >= m_next_probe) {
        // Not added to the last time, so that a late tick causes no burst.
        m_next_probe = now + m_options.probe_period;
        start_probe(now, random, output);
    }
}

void member_table::start_probe(monotonic_time now, std::mt19937_64& random, member_output& output)
{
    if (m_probe_order.empty()) {
        for (const auto& [id, member] : m_members) {
            if (member.working())
                m_probe_order.push_back(id);
        }
        std::shuffle(m_probe_order.begin(), m_probe_order.end(), random);
    }
    while (!m_probe_order.empty()) {
        const instance_id target = m_probe_order.back();
        m_probe_order.pop_back();
        if (const auto found = m_members.find(target); found == m_members.end() || !found->second.working())
            continue;
        m_probe = probe{m_next_number++, target, now + m_options.acknowledge_timeout, false,
                        now + m_options.probe_period};
        send_ping(target, m_probe->number, output);
        return;
    }
}

void member_table::send_indirect_probes(std::mt19937_64& random, member_output& output)
{
    const auto& contact = m_members.at(m_probe->target).contact;
    std::vector<instance_id> others;
    for (const auto& [id, member] : m_members) {
        if (id != m_probe->target && member.known() && member.state == member_state::alive)
            others.push_back(id);
    }
    std::vector<instance_id> helpers;
    std::sample(others.begin(), others.end(), std::back_inserter(helpers), m_options.indirect_probes, random);
    for (const auto& helper : helpers) {
        output.messages.push_back(
            {helper, m_members.at(helper).contact,
             peer::ping_request{m_probe->number, m_probe->target, contact, news_for(helper)},
             delivery::datagram});
    }
}

void member_table::expire_suspicions(monotonic_time now, member_output& output)
{
    std::vector<peer::member_update> updates;
    for (const auto& [id, member] : m_members) {
        if (member.state == member_state::suspected && now - member.state_since >= m_options.suspicion_time)
            updates.push_back({id, member.contact, member_state::dead, member.incarnation});
    }
    for (const auto& update : updates)
        apply_update(now, update, output);
}

void member_table::contact_silent_members(monotonic_time now, std::mt19937_64& random, member_output& output)
{
    std::vector<instance_id> recipients;
    std::vector<instance_id> dead;
    for (auto& [id, member] : m_members) {
        if (member.known() && member.state == member_state::dead)
            dead.push_back(id);
        const bool suspected = member.known() && member.state == member_state::suspected;
        if ((suspected || !member.known()) && now >= member.next_contact) {
            // Every process that suspects a member tells it so each period: at 20% loss, the 6 s are then
            // enough for the member to learn of the suspicion and to refute it.
            member.next_contact = now + (suspected ? m_options.probe_period : m_options.reconnect_period);
            recipients.push_back(id);
        }
    }
    if (now >= m_next_reconnect) {
        m_next_reconnect = now + m_options.reconnect_period;
        std::sample(dead.begin(), dead.end(), std::back_inserter(recipients), 1, random);
    }
    for (const auto& id : recipients)
        send_ping(id, m_next_number++, output);
}

void member_table::synchronize(monotonic_time now, std::mt19937_64& random, member_output& output)
{
    if (now < m_next_synchronization)
        return;
    // Until the first answer, a joining process tries another one each probe period.
    m_next_synchronization =
        now + (m_synchronized ? m_options.synchronization_period : m_options.probe_period);
    std::vector<instance_id> candidates;
    for (const auto& [id, member] : m_members) {
        if (member.working() || (!m_synchronized && !member.known()))
            candidates.push_back(id);
    }
    std::vector<instance_id> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), 1, random);
    for (const auto& id : chosen) {
        output.messages.push_back(
            {id, m_members.at(id).contact, peer::member_join{own_update()}, delivery::request});
    }
}

void member_table::repeat_announcements(monotonic_time now, member_output& output)
{
    std::erase_if(m_announcements,
                  [](const announcement& item) { return item.unconfirmed.empty() || item.remaining == 0; });
    for (auto& item : m_announcements) {
        if (now >= item.next_at)
            send_unconfirmed(item, now, output);
    }
}

void member_table::forget_departed(monotonic_time now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const record& member = entry.second;
        return member.known() && !member.working() && !member.listed &&
               now - member.state_since > m_options.departed_retention;
    });
}

} // namespace siskinwharf::membership
