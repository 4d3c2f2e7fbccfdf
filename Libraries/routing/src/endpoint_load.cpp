#include "siskinwharf/routing/endpoint_load.h"

#include <algorithm>

namespace siskinwharf::routing {

namespace {

// Weight of a newly reported rate in the exponential moving average. At a quarter, one slow batch does not
// make the endpoint miss the latency target.
constexpr double rate_weight = 0.25;
// Weight of an observed rate below the current estimate.
constexpr double observed_fall_weight = 0.1;

/// Updates an exponential moving average. Reports without a rate are ignored.
void update_average(std::atomic<double>& rate, double reported)
{
    if (reported <= 0)
        return;
    const double previous = rate.load(std::memory_order_relaxed);
    rate.store(previous <= 0 ? reported : previous + rate_weight * (reported - previous),
               std::memory_order_relaxed);
}

/// Number of the history step that contains a time.
std::uint32_t step_of(monotonic_time time, milliseconds step)
{
    // Steps are counted from 1, because 0 marks an empty slot of the history.
    return static_cast<std::uint32_t>(time.time_since_epoch() / step) + 1;
}

/// Atomically stores the larger of the current value and the candidate.
template<typename Number>
void store_maximum(std::atomic<Number>& value, Number candidate)
{
    auto seen = value.load(std::memory_order_relaxed);
    while (seen < candidate && !value.compare_exchange_weak(seen, candidate, std::memory_order_relaxed)) {
    }
}

} // namespace

std::uint64_t endpoint_load::queued_prompt_tokens() const
{
    return m_own_queued_tokens.load(std::memory_order_relaxed) +
           m_other_queued_tokens.load(std::memory_order_relaxed);
}

monotonic_time endpoint_load::last_report_at() const
{
    return monotonic_time(nanoseconds(m_report_time.load()));
}

bool endpoint_load::try_acquire_slot(monotonic_time now, std::uint32_t capacity, std::uint64_t prompt_tokens,
                                     std::uint64_t output_tokens)
{
    auto own = m_own_streams.load(std::memory_order_relaxed);
    do {
        if (own + m_other_streams.load(std::memory_order_relaxed) >= capacity)
            return false;
    } while (!m_own_streams.compare_exchange_weak(own, own + 1, std::memory_order_relaxed));
    m_own_tokens.fetch_add(prompt_tokens + output_tokens, std::memory_order_relaxed);
    m_own_queued_tokens.fetch_add(prompt_tokens, std::memory_order_relaxed);
    record_streams(now, own);
    return true;
}

void endpoint_load::prefill_done(std::uint64_t prompt_tokens)
{
    m_own_queued_tokens.fetch_sub(prompt_tokens, std::memory_order_relaxed);
}

void endpoint_load::observe_prefill(std::uint64_t tokens, nanoseconds elapsed)
{
    if (tokens == 0 || elapsed <= nanoseconds(0))
        return;
    const double sample = static_cast<double>(tokens) / std::chrono::duration<double>(elapsed).count();
    const double previous = m_observed_prefill_rate.load(std::memory_order_relaxed);
    // With a short prompt and no queue the sample measures the round trip rather than the prefill, so a
    // sample below the estimate gets a low weight.
    const double next = sample > previous ? sample : previous + observed_fall_weight * (sample - previous);
    m_observed_prefill_rate.store(next, std::memory_order_relaxed);
}

void endpoint_load::release_slot(monotonic_time now, std::uint64_t queued_prompt_tokens, std::uint64_t tokens)
{
    const auto before = m_own_streams.fetch_sub(1, std::memory_order_relaxed);
    m_own_tokens.fetch_sub(tokens, std::memory_order_relaxed);
    m_own_queued_tokens.fetch_sub(queued_prompt_tokens, std::memory_order_relaxed);
    record_streams(now, before);
}

void endpoint_load::release_slot_at_latest_time(std::uint64_t queued_prompt_tokens, std::uint64_t tokens)
{
    release_slot(monotonic_time(nanoseconds(m_latest_time.load(std::memory_order_relaxed))),
                 queued_prompt_tokens, tokens);
}

bool endpoint_load::apply(const load_report& report, monotonic_time now)
{
    auto last = m_sequence.load();
    do {
        if (report.sequence <= last)
            return false;
    } while (!m_sequence.compare_exchange_weak(last, report.sequence));
    store_maximum(m_latest_time, now.time_since_epoch().count());
    const auto own = own_streams_at(report.measured_at, now);
    m_other_streams.store(report.streams > own ? report.streams - own : 0, std::memory_order_relaxed);
    const auto own_queued = m_own_queued_tokens.load(std::memory_order_relaxed);
    m_other_queued_tokens.store(report.queued_tokens > own_queued ? report.queued_tokens - own_queued : 0,
                                std::memory_order_relaxed);
    update_average(m_decode_rate, report.decode_tokens_per_second);
    update_average(m_prefill_rate, report.prefill_tokens_per_second);
    m_report_time.store(report.measured_at.time_since_epoch().count());
    return true;
}

bool endpoint_load::apply_cache_event(std::uint64_t sequence)
{
    auto last = m_cache_sequence.load();
    do {
        if (sequence <= last)
            return false;
    } while (!m_cache_sequence.compare_exchange_weak(last, sequence));
    if (last != 0 && sequence != last + 1)
        m_hint_generation.fetch_add(1, std::memory_order_relaxed);
    return true;
}

std::uint32_t endpoint_load::own_streams_at(monotonic_time time, monotonic_time now) const
{
    const auto newest = step_of(now, history_step);
    const auto oldest = newest >= history_slots ? newest - std::uint32_t{history_slots} + 1 : 1;
    for (auto step = std::max(step_of(time, history_step) + 1, oldest); step <= newest; ++step) {
        const auto slot = m_history[step % history_slots].load(std::memory_order_relaxed);
        if (slot >> 32U == step)
            return static_cast<std::uint32_t>(slot);
    }
    return m_own_streams.load(std::memory_order_relaxed);
}

void endpoint_load::record_streams(monotonic_time now, std::uint32_t streams_before)
{
    store_maximum(m_latest_time, now.time_since_epoch().count());
    const auto step = step_of(now, history_step);
    auto& slot = m_history[step % history_slots];
    auto seen = slot.load(std::memory_order_relaxed);
    const auto wanted = (static_cast<std::uint64_t>(step) << 32U) | streams_before;
    while (seen >> 32U < step && !slot.compare_exchange_weak(seen, wanted, std::memory_order_relaxed)) {
    }
}

} // namespace siskinwharf::routing
