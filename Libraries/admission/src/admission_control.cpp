#include "siskinwharf/admission/admission_control.h"

#include <algorithm>

namespace siskinwharf::admission {

std::string_view to_string(admission_reason reason)
{
    switch (reason) {
    case admission_reason::deadline:
        return "deadline";
    case admission_reason::first_token:
        return "first_token";
    case admission_reason::unattainable:
        return "unattainable";
    case admission_reason::account_limit:
        return "account_limit";
    }
    return "deadline";
}

admission_decision admission_control::decide(const admission_request& request,
                                             const admission_estimate& estimate, bool over_limit,
                                             double jitter, monotonic_time now) const
{
    const nanoseconds available = request.deadline - now;
    const nanoseconds first_token = with_margin(estimate.prefill);
    const nanoseconds total = with_margin(estimate.prefill + estimate.decode);
    if (first_token > request.first_token_target || total > available)
        return not_admitted{outcome::not_run, admission_reason::unattainable, std::nullopt};
    const nanoseconds wait = with_margin(estimate.queue_wait);
    if (over_limit)
        return refuse(admission_reason::account_limit, wait, jitter);
    if (wait + first_token > request.first_token_target)
        return refuse(admission_reason::first_token, wait + first_token - request.first_token_target, jitter);
    if (wait + total > available)
        return refuse(admission_reason::deadline, wait + total - available, jitter);
    return admitted{};
}

nanoseconds admission_control::with_margin(nanoseconds estimate) const
{
    return estimate + estimate * m_limits.margin_percent / 100;
}

not_admitted admission_control::refuse(admission_reason reason, nanoseconds excess, double jitter) const
{
    // The queue must drain for at least this long before the same request would be admitted.
    const auto base_delay =
        std::clamp(std::chrono::ceil<milliseconds>(excess), m_limits.minimum_retry, m_limits.maximum_retry);
    const milliseconds jitter_delay(
        static_cast<std::int64_t>(static_cast<double>(base_delay.count()) * jitter / 2));
    return {outcome::not_run, reason, base_delay + jitter_delay};
}

} // namespace siskinwharf::admission
