#pragma once

#include <compare>
#include <cstdint>
#include <variant>

#include "siskinwharf/base/time.h"

namespace siskinwharf::serving {

/// How an attempt at an endpoint ended.
enum class attempt_end {
    completed,        ///< The whole answer arrived.
    refused_leaving,  ///< The endpoint takes no new work because it is leaving.
    refused_full,     ///< The endpoint has no free slot.
    refused_model,    ///< The endpoint does not serve the model.
    unreachable,      ///< No connection; nothing was sent.
    connection_lost,  ///< The connection broke or stalled after the request was sent.
    endpoint_lost,    ///< The endpoint died: it refuses connections, or restarted without the stream.
    endpoint_stalled, ///< The endpoint does not answer; it may be frozen or cut off rather than dead.
    stream_missing,   ///< The endpoint never received the request.
    move_requested,   ///< The endpoint is being reclaimed and the reclaim plan moves the stream.
    stream_known,     ///< The endpoint has the stream already: another process has moved it there.
    rejected,         ///< The endpoint says that the request itself is wrong.
};

/// What has been tried for a request so far.
struct attempt_history {
    std::uint32_t attempts = 0;
    std::uint32_t resumes_without_progress = 0;
    bool accepted = false;
    monotonic_time deadline;
};

/// Deliver the end of the answer.
struct deliver_end {
    auto operator<=>(const deliver_end&) const = default;
};

/// Resume the same stream at the same endpoint, after a pause.
struct resume_stream {
    milliseconds pause{0};

    auto operator<=>(const resume_stream&) const = default;
};

/// Continue at another endpoint from the tokens produced so far.
struct continue_elsewhere {
    bool needs_retry_budget = false; ///< The attempt may have cost the endpoint work.
    bool count_crash = false;        ///< The endpoint died while it ran the request: it becomes a suspect.
    bool exclude_endpoint = true;

    auto operator<=>(const continue_elsewhere&) const = default;
};

/// Give up. Requests that were accepted end as `unknown`, others as `not_run`.
enum class give_up_reason { deadline_exceeded, attempts_exhausted, rejected };

using next_step = std::variant<deliver_end, resume_stream, continue_elsewhere, give_up_reason>;

/// An accepted request is tried again until its deadline; one that is not accepted yet only this often,
/// because its caller can still be told `not_run` and go elsewhere.
inline constexpr std::uint32_t maximum_attempts_before_acceptance = 6;
/// Resumes in a row that bring no token before the endpoint counts as lost.
inline constexpr std::uint32_t maximum_resumes_without_progress = 2;
inline constexpr milliseconds resume_pause{20};

/// Decides what follows the end of an attempt at an idempotent model request.
[[nodiscard]] next_step decide_next_step(attempt_end end, const attempt_history& history, monotonic_time now);

} // namespace siskinwharf::serving
