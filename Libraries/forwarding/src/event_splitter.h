#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::forwarding {

/// Cuts a stream of server-sent events into whole events, so that an event that broke off is never passed on,
/// and drops the events that a resumed stream repeats.
class event_splitter {
public:
    /// Adds bytes and returns the whole events among them that are new.
    [[nodiscard]] std::string add(std::string_view part);
    /// Bytes of an event that has not ended.
    [[nodiscard]] bool has_partial_event() const { return !m_pending.empty(); }
    /// Forgets the event that broke off. For the next attempt.
    void drop_partial_event() { m_pending.clear(); }
    /// Id of the newest whole event.
    [[nodiscard]] const std::optional<std::string>& last_id() const { return m_last_id; }
    [[nodiscard]] std::uint64_t events() const { return m_events; }

private:
    [[nodiscard]] bool accept(std::string_view event);

    std::string m_pending;
    std::optional<std::string> m_last_id;
    std::optional<std::uint64_t> m_last_number;
    std::uint64_t m_events = 0;
};

} // namespace siskinwharf::forwarding
