#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "siskinwharf/peer/frame.h"
#include "siskinwharf/peer/replay_guard.h"
#include "siskinwharf/peer/transport_options.h"

namespace siskinwharf::peer {

/// Counters of `transport_counters` that several threads raise.
struct atomic_counters {
    std::atomic<std::uint64_t> datagram_bytes_sent{0};
    std::atomic<std::uint64_t> datagram_bytes_received{0};
    std::atomic<std::uint64_t> stream_bytes_sent{0};
    std::atomic<std::uint64_t> stream_bytes_received{0};
    std::atomic<std::uint64_t> datagrams_dropped{0};
    std::atomic<std::uint64_t> connections_opened{0};
    std::atomic<std::uint64_t> connections_failed{0};
    std::atomic<std::uint64_t> connections_refused{0};
    std::array<std::atomic<std::uint64_t>, std::variant_size_v<frame_error>> rejected{};
};

/// What the sockets of one transport share. Safe for concurrent use.
class transport_state {
public:
    explicit transport_state(const transport_options& options);

    [[nodiscard]] const transport_options& options() const { return m_options; }
    [[nodiscard]] atomic_counters& counters() { return m_counters; }
    [[nodiscard]] transport_counters read_counters() const;

    /// The sequence for a new frame. Taken just before sending, so that frames leave nearly in order.
    [[nodiscard]] std::uint64_t next_sequence() { return m_sequence.fetch_add(1, std::memory_order_relaxed); }

    /// Encodes a frame from this process.
    [[nodiscard]] encode_result seal(const instance_id& recipient, const message& body,
                                     std::uint64_t sequence, std::uint64_t in_reply_to, std::size_t limit);

    /// Decodes a frame for this process and checks for replays. Counts and logs errors.
    [[nodiscard]] decode_result open(std::string_view bytes, std::size_t limit, const std::string& from);

    /// Counts an error and logs it if it is the 1st, 2nd, 4th, 8th and so on of its kind: anyone who reaches
    /// the port could otherwise fill the log.
    void reject(const frame_error& error, const std::string& from);

    /// Reserves memory for a frame that is being read, or returns false if the limit is reached.
    [[nodiscard]] bool reserve(std::size_t bytes);
    void release(std::size_t bytes);

    void stop() { m_stopped.store(true); }
    [[nodiscard]] bool stopped() const { return m_stopped.load(); }

private:
    const transport_options m_options;
    atomic_counters m_counters;
    std::atomic<std::uint64_t> m_sequence;
    std::atomic<std::size_t> m_reserved{0};
    std::atomic<bool> m_stopped{false};
    std::mutex m_guard_mutex;
    replay_guard m_guard;
};

} // namespace siskinwharf::peer
