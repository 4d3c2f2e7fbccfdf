#include "quarantine_exchange.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include <boost/algorithm/hex.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/digest.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds flush_period{100};
constexpr milliseconds fetch_period{50};
/// Pause between two rounds through all peers when none has answered.
constexpr milliseconds fetch_retry_pause{1'000};
/// How long a starting process waits for the entries of its peers before it becomes ready without them: a
/// failure domain whose listed peers are all gone must be able to start.
constexpr milliseconds longest_fetch{3'000};
/// Entries in a reply, about 8 KB. The repetition brings the others.
constexpr std::size_t reply_entries = 100;
/// How long the refusal of a request that has just been quarantined waits for the peers. One that is frozen
/// or cut off must not hold it back for long.
constexpr milliseconds confirmation_limit{500};

} // namespace

peer::quarantine_update to_update(const std::vector<admission::quarantine_record>& records)
{
    peer::quarantine_update result;
    for (const auto& record : records) {
        peer::quarantine_entry entry{record.key.account, {}, {}, record.remaining};
        boost::algorithm::unhex(record.key.digest, std::back_inserter(entry.content_digest));
        entry.crashes.assign(record.crashes.begin(), record.crashes.end());
        result.entries.push_back(std::move(entry));
    }
    return result;
}

std::vector<admission::quarantine_record> to_records(const peer::quarantine_update& update)
{
    std::vector<admission::quarantine_record> result;
    for (const auto& entry : update.entries) {
        result.push_back({{entry.account, to_hex(entry.content_digest)},
                          {entry.crashes.begin(), entry.crashes.end()},
                          entry.remaining});
    }
    return result;
}

quarantine_exchange::quarantine_exchange(asio::io_context& control, entry_core& core, peer_ports ports)
    : m_control(control), m_core(core), m_ports(std::move(ports))
{
}

void quarantine_exchange::start()
{
    m_core.quarantine_known = false;
    m_core.publish_quarantine = [this](std::vector<admission::quarantine_record> records) {
        asio::post(m_control, [this, records = std::move(records)] { publish(records); });
    };
    m_core.confirm_quarantine = [this](admission::content_key key) {
        return confirm(std::move(key));
    };
    asio::co_spawn(m_control, run_flushes(), asio::detached);
    asio::co_spawn(m_control, fetch_entries(), asio::detached);
}

void quarantine_exchange::receive(const instance_id& sender, const peer::quarantine_update& update)
{
    for (const auto& key : m_core.merge_quarantine(to_records(update)))
        log_event(event::quarantine_learned,
                  {{"account", key.account.value()}, {"digest", key.digest}, {"peer", sender.value()}});
}

peer::quarantine_update quarantine_exchange::reply(const instance_id& sender,
                                                   const peer::quarantine_update& update)
{
    receive(sender, update);
    return update.entries.empty() ? own_entries() : peer::quarantine_update{};
}

peer::quarantine_update quarantine_exchange::own_entries() const
{
    auto records = m_core.quarantine.records(now(), std::numeric_limits<std::size_t>::max());
    std::ranges::stable_sort(records, std::ranges::greater{},
                             [](const auto& record) { return record.crashes.size(); });
    if (records.size() > reply_entries)
        records.resize(reply_entries);
    return to_update(records);
}

asio::awaitable<void> quarantine_exchange::confirm(admission::content_key key)
{
    auto operation = confirm_here(std::move(key));
    co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> quarantine_exchange::confirm_here(admission::content_key key)
{
    auto records = m_core.quarantine.records(now(), std::numeric_limits<std::size_t>::max());
    std::erase_if(records, [&key](const auto& record) { return record.key != key; });
    const auto peers = m_ports.peers();
    if (records.empty() || peers.empty())
        co_return;
    const auto confirmation = std::make_shared<peer_round>(
        m_control, m_ports, [](const membership::member_info&, const std::optional<peer::message>&) {});
    confirmation->start(peers, to_update(records));
    co_await confirmation->wait(confirmation_limit);
}

void quarantine_exchange::publish(const std::vector<admission::quarantine_record>& records)
{
    m_outbox.add(records, now());
    flush();
}

void quarantine_exchange::flush()
{
    const auto peers = m_ports.peers();
    std::vector<instance_id> ids;
    std::ranges::transform(peers, std::back_inserter(ids), &membership::member_info::member);
    for (const auto& datagram : m_outbox.take(now(), ids, m_core.quarantine)) {
        const auto recipient = std::ranges::find(peers, datagram.recipient, &membership::member_info::member);
        m_ports.send(*recipient, to_update(datagram.records));
    }
}

asio::awaitable<void> quarantine_exchange::run_flushes()
{
    asio::steady_timer timer(m_control);
    while (true) {
        flush();
        timer.expires_after(flush_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> quarantine_exchange::fetch_entries()
{
    asio::steady_timer timer(m_control);
    const auto ready_at = now() + longest_fetch;
    while (!co_await fetch_from_peers()) {
        const bool asked = !m_ports.peers().empty();
        // Without the instance list the process is not ready for other reasons. A peer that the lagging list
        // shows later is still asked.
        if (m_listed_peers && (*m_listed_peers == 0 || now() >= ready_at))
            m_core.quarantine_known = true;
        timer.expires_after(asked ? fetch_retry_pause : fetch_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_core.quarantine_known = true;
}

asio::awaitable<bool> quarantine_exchange::fetch_from_peers()
{
    const auto peers = m_ports.peers();
    for (const auto& member : peers) {
        peer::message body = peer::quarantine_update{};
        const auto answer = co_await m_ports.request(member, std::move(body));
        const auto* update = answer ? std::get_if<peer::quarantine_update>(&*answer) : nullptr;
        if (update == nullptr)
            continue;
        receive(member.member, *update);
        co_return true;
    }
    co_return false;
}

} // namespace siskinwharf::entry
