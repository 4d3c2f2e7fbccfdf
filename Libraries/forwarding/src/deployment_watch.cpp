#include "siskinwharf/forwarding/deployment_watch.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "state_text.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Delay between attempts while the store does not answer.
constexpr milliseconds retry_interval{300};
constexpr milliseconds expiry_check_interval{250};
/// Interval between checks whether this process must read the store itself.
constexpr milliseconds follow_interval{100};
/// Maximum time of a long poll where peers follow this process; see `maximum_reader_staleness`.
constexpr milliseconds shared_long_poll_time{1'000};
/// Time for which a peer may have a newer configuration than a process that the store answers.
constexpr milliseconds store_lag{1'000};
/// Delay between polls of the endpoint list, so that changes in quick succession arrive in one response.
constexpr milliseconds list_interval{400};

} // namespace

std::string_view deployment_watch::name_of(list_source source)
{
    const bool is_store = source == list_source::store_list || source == list_source::store_changes;
    return is_store ? "store" : "peer";
}

deployment_watch::deployment_watch(asio::io_context& context, deployment_store& store, http::client& client,
                                   traffic_state& state, peer_exchange& peers,
                                   std::function<void()> on_configuration)
    : m_context(context),
      m_store(store),
      m_client(client),
      m_state(state),
      m_peers(peers),
      m_on_configuration(std::move(on_configuration)),
      m_registrar(context, store, state, peers, [this] { return known_era(); }),
      m_follower(context, client, peers,
                 {[this](shared_item item, milliseconds missing) { return is_fetched(item, missing); },
                  [this](shared_item item, const std::string& body) {
                      return apply_peer_state(item, body);
                  }})
{
}

void deployment_watch::start()
{
    asio::co_spawn(m_context, watch_configuration(), asio::detached);
    asio::co_spawn(m_context, watch_endpoints(), asio::detached);
    asio::co_spawn(m_context, expire_endpoints(), asio::detached);
    m_follower.start();
}

void deployment_watch::register_process(registered_process self)
{
    m_registrar.start(std::move(self));
}

asio::awaitable<void> deployment_watch::pause(milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::uint64_t deployment_watch::known_era() const
{
    return std::max(m_store.era(), m_list_position.era);
}

bool deployment_watch::follows_peers() const
{
    return m_has_list && m_state.configuration() != nullptr && !m_peers.is_store_reader();
}

bool deployment_watch::follows_peers(shared_item item) const
{
    return follows_peers() && !m_follower.must_read_store(item);
}

void deployment_watch::record_store_answer(monotonic_time& answered)
{
    answered = std::chrono::steady_clock::now();
    // A process that reads once what peers did not deliver is no reader for them.
    if (!follows_peers())
        m_peers.set_store_reading(true, std::min(m_configuration_answered, m_list_answered));
}

milliseconds deployment_watch::long_poll_time() const
{
    return m_peers.shares_store() ? shared_long_poll_time : maximum_long_poll_time;
}

asio::awaitable<void> deployment_watch::watch_configuration()
{
    std::optional<store_position> position;
    while (true) {
        if (follows_peers(shared_item::configuration)) {
            position.reset();
            m_is_configuration_lost = false;
            co_await pause(follow_interval);
            continue;
        }
        bool failed = false;
        try {
            stored_configuration stored;
            const bool is_poll = position && position->era == m_store.era();
            if (is_poll)
                stored = co_await m_store.next_configuration(position->version, long_poll_time());
            else
                stored = co_await m_store.read_configuration();
            record_store_answer(m_configuration_answered);
            configuration_store_regained();
            if (is_poll && stored.position.era != position->era) {
                // The version that was asked for is of another history.
                position.reset();
                continue;
            }
            position = stored.position;
            if (stored.text)
                apply_configuration(*stored.text, stored.position.era, configuration_source::store);
        } catch (const history_lost&) {
            position.reset();
        } catch (const store_unavailable& error) {
            failed = true;
            configuration_store_lost(error.what());
        }
        if (failed)
            co_await pause(retry_interval);
    }
}

void deployment_watch::configuration_store_lost(const std::string& reason)
{
    if (!std::exchange(m_is_configuration_lost, true))
        log_event(event::platform_unavailable, {{"service", "configuration"}, {"reason", reason}});
}

void deployment_watch::configuration_store_regained()
{
    if (std::exchange(m_is_configuration_lost, false))
        log_event(event::platform_available, {{"service", "configuration"}});
}

void deployment_watch::apply_configuration(const std::string& text, std::uint64_t era,
                                           configuration_source source)
{
    try {
        auto content = m_store.decode_configuration(text);
        const configuration_position position{content.version, era};
        if (position <= m_configuration_position)
            return log_outdated_configuration(position, source);
        const bool is_same = m_state.configuration() &&
                             m_state.configuration()->version() == position.version &&
                             m_configuration_text == text;
        m_configuration_position = position;
        m_peers.set_versions(versions());
        m_peers.announce_versions();
        if (is_same)
            return;
        const auto idle_timeout = content.limits.idle_timeout;
        const auto* access = content.access == deployment::caller_access::everyone ? "everyone" : "keys";
        const auto now = std::chrono::steady_clock::now();
        const auto& plan = m_follower.plan(shared_item::configuration);
        m_state.set_configuration(std::move(content), now, source);
        m_configuration_text = text;
        log_event(event::configuration_in_force,
                  {{"version", std::to_string(position.version)},
                   {"source", std::string(to_string(source))},
                   {"era", std::to_string(era)},
                   {"bytes", std::to_string(text.size())},
                   {"announced_ms", std::to_string(plan.missing_time(now).count())},
                   {"failed_fetches", std::to_string(plan.failures())},
                   {"access", access},
                   {"idle_timeout_ms", std::to_string(idle_timeout.count())}});
        m_on_configuration();
    } catch (const invalid_entry& error) {
        log_event(event::configuration_rejected,
                  {{"source", std::string(to_string(source))}, {"reason", error.what()}});
    }
}

void deployment_watch::log_outdated_configuration(const configuration_position& read,
                                                  configuration_source source) const
{
    if (read.version < m_configuration_position.version)
        log_event(event::configuration_outdated,
                  {{"version", std::to_string(read.version)},
                   {"era", std::to_string(read.era)},
                   {"in_force", std::to_string(m_configuration_position.version)},
                   {"source", std::string(to_string(source))}});
}

known_versions deployment_watch::versions() const
{
    return {m_configuration_position, m_list_position};
}

asio::awaitable<void> deployment_watch::watch_endpoints()
{
    std::optional<store_position> position;
    while (true) {
        if (follows_peers())
            m_peers.set_store_reading(false, {});
        if (follows_peers(shared_item::endpoint_list)) {
            position = m_list_position;
            // The peers that this process follows are answered by the store.
            endpoint_store_regained();
            co_await pause(follow_interval);
            continue;
        }
        bool failed = false;
        try {
            const bool is_poll = position && position->era == m_store.era();
            const auto source = is_poll ? list_source::store_changes : list_source::store_list;
            endpoint_changes changes;
            if (is_poll)
                changes = co_await m_store.next_endpoints(position->version, long_poll_time());
            else
                changes = co_await m_store.read_endpoints();
            record_store_answer(m_list_answered);
            endpoint_store_regained();
            if (is_poll && position->era != changes.position.era) {
                // The version that was asked for is of another history.
                position.reset();
                continue;
            }
            position = changes.position;
            apply_endpoints(std::move(changes), source);
        } catch (const history_lost&) {
            position.reset();
        } catch (const store_unavailable& error) {
            failed = true;
            endpoint_store_lost(error.what());
        }
        co_await pause(failed ? retry_interval : list_interval);
    }
}

void deployment_watch::endpoint_store_lost(const std::string& reason)
{
    if (std::exchange(m_is_list_lost, true))
        return;
    m_endpoint_list.on_store_disconnected(std::chrono::steady_clock::now());
    log_event(event::platform_unavailable, {{"service", "endpoints"}, {"reason", reason}});
}

void deployment_watch::endpoint_store_regained()
{
    if (!std::exchange(m_is_list_lost, false))
        return;
    m_endpoint_list.on_store_reconnected(std::chrono::steady_clock::now());
    log_event(event::platform_available, {{"service", "endpoints"}});
}

void deployment_watch::apply_endpoints(endpoint_changes changes, list_source source)
{
    const bool is_whole_list = source == list_source::store_list || source == list_source::peer_list;
    const auto now = std::chrono::steady_clock::now();
    if (changes.position.era < m_list_position.era)
        return;
    const bool is_restored = m_has_list && changes.position.era > m_list_position.era;
    if (is_restored) {
        m_endpoint_list.on_store_restored(now);
        log_event(event::store_restored, {{"position", to_string(changes.position)},
                                          {"before", to_string(m_list_position)},
                                          {"source", std::string(name_of(source))}});
    }
    const bool is_newer = changes.position > m_list_position;
    m_list_position = std::max(m_list_position, changes.position);
    m_peers.set_versions(versions());
    std::vector<dispatch::endpoint_record> records;
    for (auto& endpoint : changes.endpoints) {
        if (!endpoint.is_removed && !endpoint.record) {
            log_event(event::endpoint_entry_ignored, {{"endpoint", endpoint.id.value()}});
            // Its text may be no text at all, and names no endpoint to peers either.
            endpoint.text.clear();
            endpoint.is_removed = true;
        }
        if (is_whole_list) {
            if (endpoint.record)
                records.push_back(*endpoint.record);
        } else if (endpoint.record) {
            m_endpoint_list.update(*endpoint.record, now);
        } else {
            m_endpoint_list.remove(endpoint.id, now);
        }
    }
    m_entries.take(changes, is_whole_list);
    if (source == list_source::store_list || (is_whole_list && is_restored))
        m_endpoint_list.replace(records, now);
    else if (is_whole_list)
        m_endpoint_list.replace_from_peer(records, now);
    m_has_list = true;
    publish_endpoints();
    if (is_newer)
        m_peers.announce_versions();
}

void deployment_watch::publish_endpoints()
{
    const auto now = std::chrono::steady_clock::now();
    const auto records = m_endpoint_list.current(now);
    for (const auto& record : records) {
        const auto* known = m_state.balancer().find(record.id);
        if (known == nullptr)
            log_event(event::endpoint_added, {{"endpoint", record.id.value()},
                                              {"service", record.service.value()},
                                              {"domain", record.domain.value()},
                                              {"list", to_string(m_list_position)}});
        else if (record.is_leaving && !known->record.is_leaving)
            log_event(event::endpoint_leaving,
                      {{"endpoint", record.id.value()}, {"list", to_string(m_list_position)}});
        else if (!record.is_leaving && known->record.is_leaving)
            log_event(event::endpoint_ready_again,
                      {{"endpoint", record.id.value()}, {"list", to_string(m_list_position)}});
    }
    std::unordered_set<endpoint_id> present;
    for (const auto& record : records)
        present.insert(record.id);
    for (const auto& [id, known] : m_state.balancer().endpoints()) {
        if (!present.contains(id)) {
            log_event(event::endpoint_gone, {{"endpoint", id.value()}, {"list", to_string(m_list_position)}});
            m_client.forget({known.record.ip, known.record.port});
        }
    }
    m_state.set_endpoints(records, now);
}

asio::awaitable<void> deployment_watch::expire_endpoints()
{
    while (true) {
        co_await pause(expiry_check_interval);
        const auto next = m_endpoint_list.next_expiry();
        if (next && *next <= std::chrono::steady_clock::now() && !m_is_list_lost)
            publish_endpoints();
    }
}

bool deployment_watch::is_fetched(shared_item item, milliseconds missing) const
{
    if (m_is_configuration_lost || m_is_list_lost || follows_peers())
        return true;
    // The store answers this process, but after a restore it may have an older configuration than a peer.
    return item == shared_item::configuration && missing >= store_lag;
}

std::string deployment_watch::encode_state(const known_versions& versions) const
{
    const bool has_newer = m_configuration_position > versions.configuration;
    return encode_answer(
        {this->versions(), has_newer ? m_configuration_text : std::string(), m_entries.since(versions.list)});
}

bool deployment_watch::apply_peer_state(shared_item item, const std::string& body)
{
    const auto before = versions();
    try {
        const auto answer = decode_answer(body);
        if (!answer.configuration_text.empty())
            apply_configuration(answer.configuration_text, answer.versions.configuration.era,
                                configuration_source::peer);
        // The list in an answer to a request for the configuration starts at the peer's own position.
        if (item == shared_item::endpoint_list)
            apply_peer_list(answer.versions.list, answer.list);
    } catch (const std::exception& failure) {
        // Whatever a peer sends, it must not end this process.
        log_event(event::peer_message_rejected, {{"reason", failure.what()}});
    }
    return versions().is_newer(item, before);
}

void deployment_watch::apply_peer_list(const store_position& position,
                                       const endpoint_change_log::changes& list)
{
    // Changes are those after the position of the request, which may be of an older era.
    if (position <= m_list_position || (!list.is_whole_list && position.era != m_list_position.era))
        return;
    endpoint_changes changes;
    changes.position = position;
    for (const auto& entry : list.entries) {
        if (entry.is_removed)
            changes.endpoints.push_back({entry.id, "", std::nullopt, true});
        else
            changes.endpoints.push_back(m_store.decode_endpoint(entry.id, entry.text));
    }
    apply_endpoints(std::move(changes),
                    list.is_whole_list ? list_source::peer_list : list_source::peer_changes);
}

} // namespace siskinwharf::forwarding
