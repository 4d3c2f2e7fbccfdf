#include "instance_feed.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform_access_of.h"
#include "siskinwharf/base/event_log.h"
#include "unix_time.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period{50};
/// Consumers of the list have timers of their own, which only a new call moves on.
constexpr milliseconds hand_out_period{5'000};

struct workload_writer {
    peer::instance_entry& entry;

    void operator()(const cloud::serves_entry&) const { entry.kind = peer::workload_kind::entry; }
    void operator()(const cloud::serves_model& serves) const
    {
        entry.kind = peer::workload_kind::model;
        entry.serves = serves.model.value();
        entry.version = serves.version;
    }
    void operator()(const cloud::serves_service& serves) const
    {
        entry.kind = peer::workload_kind::service;
        entry.serves = serves.service.value();
    }
};

peer::instance_entry to_entry(const cloud::instance_record& record)
{
    peer::instance_entry entry;
    entry.id = record.id;
    entry.address = record.address;
    entry.port = record.port;
    entry.peer_port = record.peer_port;
    entry.domain = record.domain;
    entry.region = record.region;
    std::visit(workload_writer{entry}, record.serves);
    entry.leaving = record.leaving;
    entry.leaves_in = record.leaves_in;
    entry.started_ms = record.started_ms;
    entry.capacity = record.capacity;
    entry.machine_class = record.machine_class;
    entry.price_microcents_per_second = record.price_microcents_per_second;
    entry.reclaimable = record.reclaimable;
    return entry;
}

cloud::served_workload to_workload(const peer::instance_entry& entry)
{
    switch (entry.kind) {
    case peer::workload_kind::entry:
        return cloud::serves_entry{};
    case peer::workload_kind::model:
        return cloud::serves_model{model_id(entry.serves), entry.version};
    case peer::workload_kind::service:
        return cloud::serves_service{service_id(entry.serves)};
    }
    return cloud::serves_entry{};
}

cloud::instance_record to_record(const peer::instance_entry& entry)
{
    cloud::instance_record record;
    record.id = entry.id;
    record.address = entry.address;
    record.port = entry.port;
    record.peer_port = entry.peer_port;
    record.domain = entry.domain;
    record.region = entry.region;
    record.serves = to_workload(entry);
    record.leaving = entry.leaving;
    record.leaves_in = entry.leaves_in;
    record.started_ms = entry.started_ms;
    record.capacity = entry.capacity;
    record.machine_class = entry.machine_class;
    record.price_microcents_per_second = entry.price_microcents_per_second;
    record.reclaimable = entry.reclaimable;
    return record;
}

} // namespace

instance_feed::instance_feed(asio::io_context& context, entry_core& core, http::client& client,
                             instance_feed_ports ports, list_handler on_list)
    : m_context(context),
      m_core(core),
      m_list(client, platform_access_of(core.settings)),
      m_ports(std::move(ports)),
      m_on_list(std::move(on_list)),
      m_share(membership::instance_share_options{}, core.settings.instance)
{
}

void instance_feed::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

asio::awaitable<void> instance_feed::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const auto members = m_ports.members();
        m_core.reads_instance_list.store(m_share.is_reader(members), std::memory_order_relaxed);
        if (m_share.is_read_due(now(), members))
            co_await read();
        m_core.instance_list_version.store(m_share.version(), std::memory_order_relaxed);
        if (m_share.has_list() && (m_is_list_wanted || now() >= m_hand_out_at))
            hand_out();
        timer.expires_after(tick_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> instance_feed::read()
{
    const std::string known = m_share.tag();
    auto result = co_await m_list.read(known);
    std::optional<peer::instance_changes> news;
    if (auto* listed = std::get_if<cloud::listed_instances>(&result)) {
        std::vector<peer::instance_entry> entries;
        entries.reserve(listed->records.size());
        for (const auto& record : listed->records)
            entries.push_back(to_entry(record));
        news = m_share.list_read(now(), m_random, unix_milliseconds(), entries, std::move(listed->tag));
    } else if (std::holds_alternative<cloud::list_unchanged>(result)) {
        news = m_share.list_unchanged(now(), m_random, known);
    } else {
        m_share.read_failed(now(), m_random);
        note_list_answers(false);
        if (m_share.has_list())
            co_return;
        co_await m_ports.join_seed();
        co_await fetch(std::nullopt);
        co_return;
    }
    note_list_answers(true);
    if (m_share.digest() != m_handed_out)
        hand_out();
    if (news)
        m_ports.share(*news);
}

void instance_feed::note_list_answers(bool answers)
{
    if (answers == m_list_answers)
        return;
    m_list_answers = answers;
    log_event(answers ? event::platform_available : event::platform_unavailable,
              {{"service", "instance_list"}});
}

void instance_feed::receive(const instance_id& sender, const peer::address& from,
                            const peer::instance_changes& changes)
{
    const auto receipt = m_share.receive(now(), m_random, changes);
    if (receipt == membership::instance_share::receipt::applied)
        hand_out();
    if (receipt != membership::instance_share::receipt::missing || m_is_fetching)
        return;
    membership::member_info source;
    source.member = sender;
    source.contact = from;
    asio::co_spawn(m_context, fetch(std::move(source)), asio::detached);
}

asio::awaitable<void> instance_feed::fetch(std::optional<membership::member_info> from)
{
    m_is_fetching = true;
    const auto answer = co_await m_ports.fetch(std::move(from), m_share.request());
    m_is_fetching = false;
    if (!answer)
        co_return;
    if (m_share.receive(now(), m_random, *answer) == membership::instance_share::receipt::applied)
        hand_out();
}

peer::instance_changes instance_feed::reply(const peer::instance_list_request& request) const
{
    return m_share.reply(now(), request);
}

void instance_feed::hand_out()
{
    m_is_list_wanted = false;
    m_hand_out_at = now() + hand_out_period;
    m_handed_out = m_share.digest();
    const auto entries = m_share.entries(now());
    std::vector<cloud::instance_record> records;
    records.reserve(entries.size());
    for (const auto& entry : entries)
        records.push_back(to_record(entry));
    m_on_list(records);
    m_core.endpoints_known.store(true, std::memory_order_relaxed);
}

} // namespace siskinwharf::entry
