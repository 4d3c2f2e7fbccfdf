#pragma once

#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/forwarding/update_offer.h"

namespace siskinwharf::forwarding {

/// Decides from whom a process fetches a newer version of one item, when it asks a second peer, and when it
/// reads the store itself. Performs no I/O.
///
/// The load it answers: a version is announced to all processes of a region at once, and all want it from the
/// one or two that have it. A peer may have died since, may be unreachable, or may need seconds to send a
/// large state to many. So a peer that does not answer soon is joined by another one, a peer that failed is
/// left out for a while, and what no peer delivers soon is read from the store.
class update_fetch_plan {
public:
    explicit update_fetch_plan(shared_item item) : m_item(item) {}

    /// Takes the peers that have a newer version than `own`, the versions of this process.
    void observe(std::vector<update_offer> offers, const known_versions& own, monotonic_time now);
    /// The peer to ask now, or none. The call counts as running until one of the following is called.
    [[nodiscard]] std::optional<update_offer> next(monotonic_time now);
    /// The peer has answered. `has_news`: with a newer version than this process had.
    void on_answered(const instance_id& process, bool has_news, monotonic_time now);
    /// The peer did not answer, or broke off.
    void on_failed(const instance_id& process, monotonic_time now);
    /// The peer sends the state to as many others as it can.
    void on_refused(const instance_id& process, monotonic_time now);

    /// Whether the item is to be read from the store because peers have not delivered it in time.
    [[nodiscard]] bool must_read_store(monotonic_time now) const;
    /// Whether a newer version is known.
    [[nodiscard]] bool is_missing() const { return m_missing_since.has_value(); }
    /// Time since a newer version is known without any progress; 0 if none is known.
    [[nodiscard]] milliseconds missing_time(monotonic_time now) const;
    /// Failed calls since then.
    [[nodiscard]] std::size_t failures() const { return m_failures; }

private:
    [[nodiscard]] bool may_ask(const update_offer& offer, monotonic_time now) const;

    shared_item m_item;
    std::vector<update_offer> m_offers;
    known_versions m_own;
    std::optional<monotonic_time> m_missing_since;
    std::size_t m_failures = 0; ///< Since then, as the refusals.
    std::size_t m_refusals = 0;
    std::map<instance_id, monotonic_time> m_running;    ///< Start of the calls that have no end yet.
    std::map<instance_id, monotonic_time> m_not_before; ///< When a peer that failed may be asked again.
};

} // namespace siskinwharf::forwarding
