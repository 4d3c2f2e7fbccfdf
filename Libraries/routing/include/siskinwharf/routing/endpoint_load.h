#pragma once

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>

#include "siskinwharf/base/time.h"

namespace siskinwharf::routing {

/// Load report of an endpoint. Includes the streams of all entry processes.
struct load_report {
    std::uint64_t sequence = 0;      ///< Increases with each report of an endpoint.
    monotonic_time measured_at;      ///< Time of the measurement, on the receiver's clock.
    std::uint32_t streams = 0;       ///< Running and queued streams.
    std::uint64_t queued_tokens = 0; ///< Prompt tokens that wait for prefill.
    double decode_tokens_per_second = 0;
    double prefill_tokens_per_second = 0;

    auto operator<=>(const load_report&) const = default;
};

/// Load of one endpoint as seen by one entry process. All members are thread-safe and lock-free. A report
/// only replaces the streams of other processes; the own streams are counted here at once, also those that
/// started after the report was measured.
class alignas(64) endpoint_load {
public:
    /// Own streams plus the streams of other processes as of the last report.
    [[nodiscard]] std::uint32_t streams() const { return own_streams() + other_streams(); }
    /// Streams that this process has started and not yet ended.
    [[nodiscard]] std::uint32_t own_streams() const { return m_own_streams.load(std::memory_order_relaxed); }
    /// Streams of other processes as of the last report.
    [[nodiscard]] std::uint32_t other_streams() const
    {
        return m_other_streams.load(std::memory_order_relaxed);
    }
    /// Prompt and expected output tokens of the own streams.
    [[nodiscard]] std::uint64_t own_tokens() const { return m_own_tokens.load(std::memory_order_relaxed); }

    /// Prompt tokens that are queued ahead of the next request: those of own streams plus those of other
    /// processes as of the last report.
    [[nodiscard]] std::uint64_t queued_prompt_tokens() const;

    /// Reported decode tokens per second over all streams, as a moving average. 0 before the first report.
    [[nodiscard]] double decode_rate() const { return m_decode_rate.load(std::memory_order_relaxed); }
    /// Reported prefill tokens per second over all streams, as a moving average. 0 if no report contained a
    /// rate.
    [[nodiscard]] double prefill_rate() const { return m_prefill_rate.load(std::memory_order_relaxed); }

    /// Prefill tokens per second estimated from the first tokens of own streams, for endpoints that report no
    /// rate. Includes the time spent waiting for streams of other processes, so it falls as their load rises.
    /// 0 before the first token.
    [[nodiscard]] double observed_prefill_rate() const
    {
        return m_observed_prefill_rate.load(std::memory_order_relaxed);
    }

    /// Time at which the last report was measured, on this process's clock.
    [[nodiscard]] monotonic_time last_report_at() const;
    /// Sequence number of the last report. 0 before the first report.
    [[nodiscard]] std::uint64_t last_report_sequence() const { return m_sequence.load(); }

    /// Acquires a slot for one stream. Returns false and changes nothing if `capacity` streams are running.
    [[nodiscard]] bool try_acquire_slot(monotonic_time now, std::uint32_t capacity,
                                        std::uint64_t prompt_tokens, std::uint64_t output_tokens);
    /// Removes a prompt from the queued tokens once its first token has arrived.
    void prefill_done(std::uint64_t prompt_tokens);
    /// Updates the observed prefill rate with the time to a first token. `tokens` is the number of prompt
    /// tokens that were queued at the start, including the stream's own.
    void observe_prefill(std::uint64_t tokens, nanoseconds elapsed);
    /// Releases the slot of one stream. `queued_prompt_tokens` are those that still wait for prefill;
    /// `tokens` are the prompt and output tokens given to `try_acquire_slot`.
    void release_slot(monotonic_time now, std::uint64_t queued_prompt_tokens, std::uint64_t tokens);
    /// Releases the slot at the latest time passed to this object, for callers without a clock.
    void release_slot_at_latest_time(std::uint64_t queued_prompt_tokens, std::uint64_t tokens);

    /// Applies a load report. Returns false if its sequence number is not higher than that of the last one.
    bool apply(const load_report& report, monotonic_time now);

    /// Generation of the cache hints about this endpoint; hints of older generations are invalid.
    [[nodiscard]] std::uint32_t hint_generation() const
    {
        return m_hint_generation.load(std::memory_order_relaxed);
    }
    /// Records the sequence number of a cache event. A gap starts a new generation, because an eviction may
    /// have been missed. Returns false if the number is not higher than that of the last event.
    bool apply_cache_event(std::uint64_t sequence);

private:
    /// Number of own streams at a past time, with the resolution of one history slot.
    [[nodiscard]] std::uint32_t own_streams_at(monotonic_time time, monotonic_time now) const;
    /// Records the number of own streams before a change, once per history step.
    void record_streams(monotonic_time now, std::uint32_t streams_before);

    // Reports arrive with a delay of up to about 1 s; 32 slots of 100 ms cover three times that.
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
    // Upper 32 bits: number of the step. Lower 32 bits: own streams before the first change in that step.
    std::array<std::atomic<std::uint64_t>, history_slots> m_history{};
};

} // namespace siskinwharf::routing
