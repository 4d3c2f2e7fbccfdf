#include "event_splitter.h"

#include <charconv>
#include <utility>

namespace siskinwharf::forwarding {

namespace {

constexpr std::string_view id_field = "id:";
/// Capacity that a stream keeps between two events.
constexpr std::size_t kept_capacity = 16U << 10U;

/// Removes the first line of `text` and returns it without its end, which is CR LF, LF or CR.
std::string_view take_line(std::string_view& text)
{
    const auto end = text.find_first_of("\r\n");
    const auto line = text.substr(0, end);
    if (end == std::string_view::npos) {
        text = {};
        return line;
    }
    const bool is_pair = text.substr(end).starts_with("\r\n");
    text.remove_prefix(end + (is_pair ? 2 : 1));
    return line;
}

std::optional<std::string_view> id_of(std::string_view event)
{
    while (!event.empty()) {
        auto line = take_line(event);
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.size() > event_splitter::maximum_id_bytes)
            return std::nullopt;
        return line;
    }
    return std::nullopt;
}

/// Whether an event consists of comments and empty lines only.
bool is_empty(std::string_view event)
{
    while (!event.empty()) {
        const auto line = take_line(event);
        if (!line.empty() && line.front() != ':')
            return false;
    }
    return true;
}

std::optional<std::uint64_t> number_of(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

bool event_splitter::accept(std::string_view event)
{
    if (m_is_out_of_place)
        return false;
    if (is_empty(event))
        return true;
    const auto id = id_of(event);
    const auto number = id ? number_of(*id) : std::nullopt;
    if (m_is_resumed && (!id || (m_last_number && !number))) {
        m_is_out_of_place = true;
        return false;
    }
    m_position = number;
    if (number && m_last_number && *number <= *m_last_number)
        return false;
    m_last_has_id = id.has_value();
    if (!id)
        return true;
    if (number)
        m_last_number = number;
    m_last_id = std::string(*id);
    return true;
}

std::optional<std::size_t> event_splitter::find_event_end(std::size_t start)
{
    for (; m_searched < m_pending.size(); ++m_searched) {
        const char byte = m_pending[m_searched];
        const bool ends_line = byte == '\n' || byte == '\r';
        // The second byte of CR LF ends no further line.
        if (byte == '\n' && m_searched > start && m_pending[m_searched - 1] == '\r')
            continue;
        const bool was_empty = std::exchange(m_is_line_empty, ends_line);
        if (!ends_line || !was_empty)
            continue;
        ++m_searched;
        // If the LF of CR LF comes later, it is passed on as an empty line.
        if (byte == '\r' && m_searched < m_pending.size() && m_pending[m_searched] == '\n')
            ++m_searched;
        return m_searched;
    }
    return std::nullopt;
}

std::string event_splitter::add(std::string_view part)
{
    m_pending.append(part);
    std::string whole;
    std::size_t start = 0;
    while (const auto end = find_event_end(start)) {
        const auto event = std::string_view(m_pending).substr(start, *end - start);
        if (accept(event)) {
            whole.append(event);
            m_events += is_empty(event) ? 0 : 1;
        }
        start = *end;
    }
    m_pending.erase(0, start);
    m_searched -= start;
    // A large event must not hold its memory for the rest of the stream.
    if (m_pending.size() < kept_capacity && m_pending.capacity() > 2 * kept_capacity)
        m_pending.shrink_to_fit();
    return whole;
}

} // namespace siskinwharf::forwarding
