#pragma once

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>

#include "siskinwharf/base/time.h"

namespace siskinwharf::routing {

/// What an endpoint reported about itself. The report counts the streams of all entry processes.
struct load_report {
    std::uint64_t sequence = 0;      ///< Rises with each report of an endpoint.
    monotonic_time measured_at;      ///< When the endpoint counted, on the receiver's clock.
    std::uint32_t streams = 0;       ///< Running and queued streams.
    std::uint64_t queued_tokens = 0; ///< Prompt tokens that wait for their prefill.
    double decode_tokens_per_second = 0;
    double prefill_tokens_per_second = 0;

    auto operator<=>(const load_report&) const = default;
};

/// Load of one endpoint as one entry process sees it. All members may be used from several threads; none
/// takes a lock. A report replaces only the part of the load that this process does not know itself: the
/// streams of others. Own streams always count immediately, also those started after the report was measured.
class alignas(64) endpoint_load {
public:
    /// Own streams plus the last known streams of others.
    [[nodiscard]] std::uint32_t streams() const { return own_streams() + other_streams(); }
    [[nodiscard]] std::uint32_t own_streams() const { return m_own_streams.load(std::memory_order_relaxed); }
    /// Streams of other processes as of the last report.
    [[nodiscard]] std::uint32_t other_streams() const
    {
        return m_other_streams.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t own_tokens() const { return m_own_tokens.load(std::memory_order_relaxed); }

    /// Prompt tokens before the prefill of the next request: own ones plus those reported by others.
    [[nodiscard]] std::uint64_t queued_prompt_tokens() const;

    /// Tokens per second of one endpoint over all its streams, smoothed over reports. 0 before any report.
    [[nodiscard]] double decode_rate() const { return m_decode_rate.load(std::memory_order_relaxed); }
    [[nodiscard]] double prefill_rate() const { return m_prefill_rate.load(std::memory_order_relaxed); }

    /// Prompt tokens per second that the first tokens of own streams imply, for endpoints that report no
    /// rate. Waiting for others is part of it, so that it falls with their load. 0 before the first stream.
    [[nodiscard]] double observed_prefill_rate() const
    {
        return m_observed_prefill_rate.load(std::memory_order_relaxed);
    }

    [[nodiscard]] monotonic_time last_report_at() const;
    [[nodiscard]] std::uint64_t last_report_sequence() const { return m_sequence.load(); }

    /// Takes a slot for one stream. Returns false, and changes nothing, when `capacity` streams are running.
    [[nodiscard]] bool try_acquire_slot(monotonic_time now, std::uint32_t capacity,
                                        std::uint64_t prompt_tokens, std::uint64_t output_tokens);
    /// The first token has arrived: the prompt no longer waits for its prefill.
    void prefill_done(std::uint64_t prompt_tokens);
    /// A first token came after this time, with so many known prompt tokens before it, its own included.
    void observe_prefill(std::uint64_t tokens, nanoseconds elapsed);
    /// Frees the slot of one stream.
    void release_slot(monotonic_time now, std::uint64_t queued_prompt_tokens, std::uint64_t tokens);
    /// Frees the slot at the newest time that this object has seen.
    void release_slot_at_latest_time(std::uint64_t queued_prompt_tokens, std::uint64_t tokens);

    /// Takes in a report. Returns false for one that is not newer than the last one.
    bool apply(const load_report& report, monotonic_time now);

    /// Generation of the cache hints about this endpoint; hints of older generations are void.
    [[nodiscard]] std::uint32_t hint_generation() const
    {
        return m_hint_generation.load(std::memory_order_relaxed);
    }
    /// Takes in the sequence number of a cache event. A gap starts a new generation, because an eviction may
    /// have been missed. Returns false for an event that is older than one already seen.
    bool apply_cache_event(std::uint64_t sequence);

private:
    /// Own streams at a time of the past. Precise to one slot of the history.
    [[nodiscard]] std::uint32_t own_streams_at(monotonic_time time, monotonic_time now) const;
    void record_streams(monotonic_time now, std::uint32_t streams_before);

    // Reports lag by up to about a second; 32 slots of 100 ms cover three times that.
    static constexpr milliseconds history_step{100};
    static constexpr std::size_t history_slots = 32;

    std::atomic<std::uint32_t> m_own_streams{0};
    std::atomic<std::uint32_t> m_other_streams{0};
    std::atomic<std::uint64_t> m_own_tokens{0};
    std::atomic<std::uint64_t> m_own_queued_tokens{0};
    std::atomic<std::uint64_t> m_other_queued_tokens{0};
    std::atomic<double> m_decode_rate{0};
    std::atomic<double> m_prefill_rate{0};
    std::atomic<double> m_observed_prefill_rate{0};
    std::atomic<std::uint32_t> m_hint_generation{0};
    std::atomic<std::uint64_t> m_cache_sequence{0};
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<std::int64_t> m_report_time{0};
    std::atomic<std::int64_t> m_latest_time{0};
    // Upper half: number of the step. Lower half: own streams before the first change in that step.
    std::array<std::atomic<std::uint64_t>, history_slots> m_history{};
};

} // namespace siskinwharf::routing
