#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <variant>

#include "siskinwharf/base/outcome.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::admission {

/// Latency requirements of a request.
struct admission_request {
    monotonic_time deadline;            ///< By which the complete answer is due.
    milliseconds first_token_target{0}; ///< Longest acceptable time to first token, counted from now.
};

/// Predicted duration of each phase of a request, derived from routing and load reports.
struct admission_estimate {
    milliseconds queue_wait{0}; ///< Before an endpoint takes the request.
    milliseconds prefill{0};    ///< From then until the first token.
    milliseconds decode{0};     ///< From the first token to the last.
};

/// Settings of `admission_control`.
struct admission_limits {
    /// Safety margin on every estimate, in percent of the estimate. Without it, half of the requests admitted
    /// at the limit would miss their deadline because of the estimation error.
    unsigned margin_percent = 10;
    milliseconds minimum_retry{50};     ///< Lower bound of the retry delay before jitter.
    milliseconds maximum_retry{30'000}; ///< Upper bound of the retry delay before jitter.
};

/// Why a request is not admitted.
enum class admission_reason {
    deadline,      ///< Its answer would complete after the deadline.
    first_token,   ///< Its first token would miss the target.
    unattainable,  ///< It would be too late even with an empty queue, so a retry does not help.
    account_limit, ///< The queue of its account is full.
};

/// Returns the name of the enumerator.
[[nodiscard]] std::string_view to_string(admission_reason reason);

/// The request may enter the queue.
struct admitted {
    auto operator<=>(const admitted&) const = default;
};

/// The request is refused before any part of it ran.
struct not_admitted {
    outcome result = outcome::not_run;
    admission_reason reason = admission_reason::deadline;
    std::optional<milliseconds> retry_after; ///< Retry delay, empty if a retry does not help.

    auto operator<=>(const not_admitted&) const = default;
};

using admission_decision = std::variant<admitted, not_admitted>;

/// Refuses requests on arrival that are predicted to miss their deadline or first-token target. Immutable,
/// and therefore safe for concurrent use.
class admission_control {
public:
    explicit admission_control(admission_limits limits) : m_limits(limits) {}

    /// Decides whether a request may enter the queue. `over_limit` is the result of
    /// `fair_queue::is_over_limit`. `jitter` is a random number in [0, 1); it extends the retry delay by up
    /// to half, so that requests refused together do not retry together.
    [[nodiscard]] admission_decision decide(const admission_request& request,
                                            const admission_estimate& estimate, bool over_limit,
                                            double jitter, monotonic_time now) const;

private:
    [[nodiscard]] nanoseconds with_margin(nanoseconds estimate) const;
    /// `excess` is the time by which the request would miss its limit.
    [[nodiscard]] not_admitted refuse(admission_reason reason, nanoseconds excess, double jitter) const;

    admission_limits m_limits;
};

} // namespace siskinwharf::admission
