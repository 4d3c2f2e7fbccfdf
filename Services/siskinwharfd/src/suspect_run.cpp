#include "suspect_run.h"

#include <algorithm>
#include <utility>

#include "request_refused.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

bool suspect_run::must_isolate(bool accepted)
{
    if (!m_quarantined && m_core.quarantine.is_empty())
        return false;
    const auto status =
        m_quarantined ? admission::content_status::quarantined : m_core.quarantine.status(key(), now());
    if (status == admission::content_status::quarantined)
        throw request_refused({http::refusal_type::quarantined, "the request has crashed endpoints",
                               accepted ? outcome::unknown : outcome::not_run});
    return status == admission::content_status::suspect;
}

asio::awaitable<std::optional<routing::chosen_endpoint>>
suspect_run::acquire(routing::routing_request routing)
{
    // Most suspects are innocent neighbours. One that cannot be isolated in time runs among the others: it
    // keeps half of the time left, and twice the time that its answer is expected to take.
    const auto time = now();
    const auto deadline = m_request.spec().deadline;
    const auto latest_start = deadline - 2 * m_core.gate.decode_time(routing);
    const auto limit = std::min(time + (deadline - time) / 2, latest_start);
    auto own = key();
    auto chosen = co_await m_core.isolation.acquire(std::move(own), std::move(routing), limit);
    if (!chosen)
        co_return std::nullopt;
    m_isolated_at = chosen->endpoint->id;
    // Peers have crashed another endpoint with a copy while this one waited.
    if (m_core.quarantine.status(key(), now()) == admission::content_status::quarantined) {
        chosen.reset();
        leave();
    }
    co_return chosen;
}

void suspect_run::leave()
{
    if (m_isolated_at.empty())
        return;
    const auto& spec = m_request.spec();
    const routing::target target = routing::model_target{spec.model, spec.version};
    m_core.isolation.release(target, std::exchange(m_isolated_at, {}));
}

void suspect_run::note_crash(const routing::endpoint_info& endpoint)
{
    if (m_core.on_endpoint_lost(key(), endpoint) != admission::content_status::quarantined)
        return;
    m_quarantined = true;
    log_event(event::request_quarantined, {{"request", m_request.spec().id.value()},
                                           {"account", m_request.spec().account.value()},
                                           {"digest", key().digest}});
}

asio::awaitable<void> suspect_run::confirm_quarantine()
{
    if (!m_quarantined || !m_core.confirm_quarantine)
        co_return;
    auto own = key();
    co_await m_core.confirm_quarantine(std::move(own));
}

void suspect_run::note_finished()
{
    if (!m_core.quarantine.is_empty())
        m_core.on_request_finished(key());
}

const admission::content_key& suspect_run::key()
{
    if (!m_key)
        m_key = content_key_of(m_request.spec());
    return *m_key;
}

} // namespace siskinwharf::entry
