#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::forwarding {

/// Splits a stream of server-sent events into complete events, so that a truncated event is never forwarded,
/// and drops duplicate events that a resumed stream sends again.
class event_splitter {
public:
    static constexpr std::size_t maximum_event_bytes = 1U << 20U;
    /// Longest id that is kept. A stream cannot be resumed after an event with a longer one.
    static constexpr std::size_t maximum_id_bytes = 1U << 10U;

    /// Appends received bytes and returns the complete events that were not returned before.
    [[nodiscard]] std::string add(std::string_view part);
    /// Whether more bytes than `maximum_event_bytes` are buffered without the end of an event.
    [[nodiscard]] bool is_event_too_large() const { return m_pending.size() > maximum_event_bytes; }
    /// Bytes that are kept between two calls of `add`.
    [[nodiscard]] std::size_t held_bytes() const { return m_pending.capacity(); }
    /// Gives back memory that no buffered byte needs.
    void release_unused() { m_pending.shrink_to_fit(); }
    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !m_pending.empty(); }
    /// Discards an incomplete event before the stream is resumed.
    void drop_partial_event()
    {
        std::string().swap(m_pending);
        m_searched = 0;
        m_is_line_empty = true;
        m_is_resumed = m_events > 0;
        m_is_out_of_place = false;
        m_position.reset();
    }
    /// Whether another endpoint can go on after the last event: it has an id, or there is none yet.
    [[nodiscard]] bool can_resume() const { return m_events == 0 || m_last_has_id; }
    /// Whether the resumed stream sent an event whose place after the last one is not known.
    [[nodiscard]] bool is_out_of_place() const { return m_is_out_of_place; }
    /// Whether the resumed stream started again and has not come back to the last event.
    [[nodiscard]] bool is_behind() const
    {
        return m_position && m_last_number && *m_position < *m_last_number;
    }
    /// Id of the last complete event.
    [[nodiscard]] const std::optional<std::string>& last_id() const { return m_last_id; }
    /// Number of complete events returned, without those that consist of comments.
    [[nodiscard]] std::uint64_t events() const { return m_events; }

private:
    /// Returns false for a duplicate, which is an event whose numeric id is not above the last one, and for
    /// one without a known place.
    [[nodiscard]] bool accept(std::string_view event);

    /// Looks at the bytes that were not looked at before. Returns the end of the event that begins at
    /// `start`, which is behind an empty line. Lines end with CR LF, LF or CR.
    [[nodiscard]] std::optional<std::size_t> find_event_end(std::size_t start);

    std::string m_pending;
    std::size_t m_searched = 0;  ///< Bytes of `m_pending` that were looked at.
    bool m_is_line_empty = true; ///< Applies to the line that was looked at last.
    std::optional<std::string> m_last_id;
    std::optional<std::uint64_t> m_last_number;
    std::optional<std::uint64_t> m_position; ///< Number of the last event of the present response.
    std::uint64_t m_events = 0;
    bool m_is_resumed = false;
    bool m_last_has_id = false; ///< Applies to the last event that was returned.
    bool m_is_out_of_place = false;
};

} // namespace siskinwharf::forwarding
