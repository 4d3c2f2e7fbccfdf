#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <variant>

#include "siskinwharf/base/outcome.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::admission {

/// What a request asks for.
struct admission_request {
    monotonic_time deadline;            ///< Of the complete answer.
    milliseconds first_token_target{0}; ///< From now.
};

/// How long the parts of a request are expected to take, from routing and load reports.
struct admission_estimate {
    milliseconds queue_wait{0};
    milliseconds prefill{0};
    milliseconds decode{0};
};

/// Settings of `admission_control`.
struct admission_limits {
    /// Part of the estimate that is added for its error. Without it half of the requests admitted at the
    /// limit would miss their deadline.
    unsigned margin_percent = 10;
    milliseconds minimum_retry{50};
    milliseconds maximum_retry{30'000};
};

/// Why a request is not admitted.
enum class admission_reason {
    deadline,      ///< It would end after its deadline.
    first_token,   ///< Its first token would come after the target.
    unattainable,  ///< It would be too late even without a queue, so that a retry does not help.
    account_limit, ///< The account has too many requests in the queue.
};

[[nodiscard]] std::string_view to_string(admission_reason reason);

/// The request may enter the queue.
struct admitted {
    auto operator<=>(const admitted&) const = default;
};

/// The request is refused before anything ran.
struct not_admitted {
    outcome result = outcome::not_run;
    admission_reason reason = admission_reason::deadline;
    std::optional<milliseconds> retry_after; ///< Nothing if a retry does not help.

    auto operator<=>(const not_admitted&) const = default;
};

using admission_decision = std::variant<admitted, not_admitted>;

/// Refuses requests early that would miss their deadline or the first-token target. Immutable, so that it may
/// be used by several threads.
class admission_control {
public:
    explicit admission_control(admission_limits limits) : m_limits(limits) {}

    /// `over_limit` comes from `fair_queue::is_over_limit`. `jitter` is a random number in [0, 1) that
    /// spreads the retries of requests refused together over half of the retry time.
    [[nodiscard]] admission_decision decide(const admission_request& request,
                                            const admission_estimate& estimate, bool over_limit,
                                            double jitter, monotonic_time now) const;

private:
    [[nodiscard]] nanoseconds with_margin(nanoseconds estimate) const;
    [[nodiscard]] not_admitted refuse(admission_reason reason, nanoseconds excess, double jitter) const;

    admission_limits m_limits;
};

} // namespace siskinwharf::admission
