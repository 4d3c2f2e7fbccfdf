// The part of load_balancer that learns how fast endpoints are.

#include <chrono>

#include "siskinwharf/dispatch/load_balancer.h"

namespace siskinwharf::dispatch {

namespace {

/// Time from the end of prefill (computation of the prompt) to the first event.
constexpr double first_event_overhead_ms = 40;
/// Interval between two updates of how much slower than usual each endpoint is.
constexpr milliseconds slowdown_interval{100};

} // namespace

double load_balancer::prompt_ms(double tokens, const latency_averages& times)
{
    return tokens / times.tokens_per_ms + first_event_overhead_ms;
}

void load_balancer::learn_speed(endpoint_state& state, const attempt_ticket& ticket, monotonic_time now)
{
    if (!ticket.is_engine)
        return;
    const auto& times = averages_of(ticket.service);
    const auto cached = static_cast<double>(ticket.uncertain_tokens) * times.cached_share;
    const auto tokens = static_cast<double>(ticket.prefill_tokens + ticket.tokens_ahead) - cached;
    const auto expected = ticket.queue_ms + prompt_ms(tokens, times);
    const auto measured = std::chrono::duration<double, std::milli>(now - ticket.started).count();
    add_sample(state.speed, expected, measured - ticket.round_trip_ms);
}

void load_balancer::update_slowdowns(monotonic_time now)
{
    const auto elapsed = now - m_slowdowns_at;
    if (elapsed < slowdown_interval)
        return;
    m_slowdowns_at = now;
    for (const auto& [service, states] : m_by_service) {
        speed_evidence all;
        for (auto* state : states) {
            age(state->speed, elapsed);
            all = all + state->speed + state->peers_speed;
        }
        for (auto* state : states)
            state->slowdown = slowdown(state->speed + state->peers_speed, all);
    }
}

} // namespace siskinwharf::dispatch
