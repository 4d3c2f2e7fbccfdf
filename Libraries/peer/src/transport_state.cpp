#include "transport_state.h"

#include <bit>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::peer {

transport_state::transport_state(const transport_options& options)
    : m_options(options), m_sequence(options.first_sequence)
{
}

transport_counters transport_state::read_counters() const
{
    transport_counters result;
    result.datagram_bytes_sent = m_counters.datagram_bytes_sent;
    result.datagram_bytes_received = m_counters.datagram_bytes_received;
    result.stream_bytes_sent = m_counters.stream_bytes_sent;
    result.stream_bytes_received = m_counters.stream_bytes_received;
    result.datagrams_dropped = m_counters.datagrams_dropped;
    result.connections_opened = m_counters.connections_opened;
    result.connections_failed = m_counters.connections_failed;
    result.connections_refused = m_counters.connections_refused;
    for (std::size_t index = 0; index < result.rejected.size(); ++index)
        result.rejected[index] = m_counters.rejected[index];
    return result;
}

encode_result transport_state::seal(const instance_id& recipient, const message& body, std::uint64_t sequence,
                                    std::uint64_t in_reply_to, std::size_t limit)
{
    return encode({m_options.self, sequence, in_reply_to, body}, m_options.key, recipient, limit);
}

decode_result transport_state::open(std::string_view bytes, std::size_t limit, const std::string& from)
{
    decode_result result = decode(bytes, m_options.key, m_options.self, limit);
    if (const auto* received = std::get_if<frame>(&result)) {
        const std::lock_guard lock(m_guard_mutex);
        if (auto replayed = m_guard.accept(received->sender, received->sequence))
            result = frame_error(*std::move(replayed));
    }
    if (const auto* error = std::get_if<frame_error>(&result))
        reject(*error, from);
    return result;
}

void transport_state::reject(const frame_error& error, const std::string& from)
{
    const std::uint64_t count = m_counters.rejected[error.index()].fetch_add(1) + 1;
    if (std::has_single_bit(count)) {
        log_event(
            event::peer_message_rejected,
            {{"from", from}, {"error", std::string(to_string(error))}, {"count", std::to_string(count)}});
    }
}

bool transport_state::reserve(std::size_t bytes)
{
    if (m_reserved.fetch_add(bytes) + bytes <= m_options.incoming_bytes)
        return true;
    release(bytes);
    return false;
}

void transport_state::release(std::size_t bytes)
{
    m_reserved.fetch_sub(bytes);
}

} // namespace siskinwharf::peer
