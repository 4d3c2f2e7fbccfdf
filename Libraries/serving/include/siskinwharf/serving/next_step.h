#pragma once

#include <compare>
#include <cstdint>
#include <variant>

#include "siskinwharf/base/time.h"

namespace siskinwharf::serving {

/// How an attempt at an endpoint ended.
enum class attempt_end {
    completed,        ///< The complete answer arrived.
    refused_leaving,  ///< The endpoint is draining and takes no new work.
    refused_full,     ///< The endpoint has no free slot.
    refused_model,    ///< The endpoint does not serve the model.
    unreachable,      ///< No connection could be opened; nothing was sent.
    connection_lost,  ///< The connection failed or stalled after the request was sent.
    endpoint_lost,    ///< The endpoint crashed: it refuses connections, or restarted without the stream.
    endpoint_stalled, ///< The endpoint does not respond; it may be frozen or partitioned rather than down.
    stream_missing,   ///< The endpoint never received the request.
    move_requested,   ///< The endpoint is being reclaimed, and the reclaim plan moves the stream.
    stream_known,     ///< The endpoint already has the stream, because another process moved it there.
    rejected,         ///< The endpoint reports that the request itself is invalid.
};

/// The attempts for a request so far.
struct attempt_history {
    std::uint32_t attempts = 0;                 ///< Without those that a full endpoint refused.
    std::uint32_t resumes_without_progress = 0; ///< Consecutive resumes that brought no token.
    bool accepted = false;                      ///< Whether the request was accepted; see `give_up_reason`.
    monotonic_time deadline;                    ///< Of the complete answer.
};

/// The answer is complete: deliver its end to the caller.
struct deliver_end {
    auto operator<=>(const deliver_end&) const = default;
};

/// Resume the same stream on the same endpoint after a pause.
struct resume_stream {
    milliseconds pause{0};

    auto operator<=>(const resume_stream&) const = default;
};

/// Continue on another endpoint after the tokens produced so far.
struct continue_elsewhere {
    bool needs_retry_budget = false; ///< The attempt may have used endpoint capacity.
    bool count_crash = false; ///< The endpoint crashed while running the request, which becomes a suspect.
    bool exclude_endpoint = true; ///< Whether later attempts must avoid the endpoint.

    auto operator<=>(const continue_elsewhere&) const = default;
};

/// Why a request is given up. Accepted requests end as `unknown`, others as `not_run`.
enum class give_up_reason { deadline_exceeded, attempts_exhausted, rejected };

/// What to do after an attempt.
using next_step = std::variant<deliver_end, resume_stream, continue_elsewhere, give_up_reason>;

/// Limit on attempts for a request that was not accepted yet: its caller can still receive `not_run` and go
/// elsewhere. Accepted requests are retried until their deadline.
inline constexpr std::uint32_t maximum_attempts_before_acceptance = 6;
/// Consecutive resumes without a new token after which the request moves to another endpoint.
inline constexpr std::uint32_t maximum_resumes_without_progress = 2;
/// Pause before every resume that follows one without progress.
inline constexpr milliseconds resume_pause{20};

/// Decides how to proceed after an attempt to run an idempotent model request.
[[nodiscard]] next_step decide_next_step(attempt_end end, const attempt_history& history, monotonic_time now);

} // namespace siskinwharf::serving
