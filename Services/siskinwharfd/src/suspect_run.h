#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "entry_core.h"
#include "live_request.h"

namespace siskinwharf::entry {

/// What one request has to do with the quarantine: its status, its isolation and the crashes counted for it.
class suspect_run {
public:
    suspect_run(entry_core& core, const live_request& request) : m_core(core), m_request(request) {}

    /// Whether the request must run isolated. Throws `request_refused` if it is quarantined. Takes no lock
    /// for nearly all requests. `accepted` decides about the outcome in the refusal.
    [[nodiscard]] bool must_isolate(bool accepted);
    /// Waits for an endpoint to itself, as long as the deadline allows.
    boost::asio::awaitable<std::optional<routing::chosen_endpoint>> acquire(routing::routing_request routing);
    /// Gives up the reservation, if there is one. To be called after the slot was freed.
    void leave();
    /// Counts the death of an endpoint against the request.
    void note_crash(const routing::endpoint_info& endpoint);
    /// To be awaited before the request is refused as quarantined: its sender may resend it at once through
    /// another entry process, which must know the quarantine by then.
    boost::asio::awaitable<void> confirm_quarantine();
    /// The request ran to its end.
    void note_finished();

private:
    [[nodiscard]] const admission::content_key& key();

    entry_core& m_core;
    const live_request& m_request;
    std::optional<admission::content_key> m_key; ///< Made when first needed.
    endpoint_id m_isolated_at;                   ///< Empty unless the request runs isolated.
    bool m_quarantined = false;                  ///< By a crash that this run has seen.
};

} // namespace siskinwharf::entry
