#include "siskinwharf/serving/next_step.h"

namespace siskinwharf::serving {

next_step decide_next_step(attempt_end end, const attempt_history& history, monotonic_time now)
{
    if (end == attempt_end::completed)
        return deliver_end{};
    // A stream that exists before the request was accepted belongs to another request with the same id.
    if (end == attempt_end::rejected || (end == attempt_end::stream_known && !history.accepted))
        return give_up_reason::rejected;
    if (now >= history.deadline)
        return give_up_reason::deadline_exceeded;
    if ((end == attempt_end::connection_lost || end == attempt_end::stream_known) &&
        history.resumes_without_progress < maximum_resumes_without_progress)
        return resume_stream{history.resumes_without_progress == 0 ? milliseconds(0) : resume_pause};
    if (!history.accepted && history.attempts >= maximum_attempts_before_acceptance)
        return give_up_reason::attempts_exhausted;
    switch (end) {
    case attempt_end::refused_full:
        // The slot count was stale; a slot may be free by the next attempt.
        return continue_elsewhere{.needs_retry_budget = true, .count_crash = false, .exclude_endpoint = true};
    case attempt_end::stream_missing:
        return continue_elsewhere{
            .needs_retry_budget = false, .count_crash = false, .exclude_endpoint = false};
    case attempt_end::connection_lost:
    case attempt_end::endpoint_stalled:
        // A frozen endpoint or lost connection is no evidence that the request crashes endpoints.
        return continue_elsewhere{
            .needs_retry_budget = !history.accepted, .count_crash = false, .exclude_endpoint = true};
    case attempt_end::endpoint_lost:
        // Accepted requests bypass the retry budget: completing them matters more than the load of one retry.
        return continue_elsewhere{
            .needs_retry_budget = !history.accepted, .count_crash = true, .exclude_endpoint = true};
    default:
        return continue_elsewhere{};
    }
}

} // namespace siskinwharf::serving
