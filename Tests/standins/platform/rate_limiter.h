#pragma once

#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// Token bucket that holds a fifth of a second's worth, and at least one operation.
class rate_limiter {
public:
    /// `per_second` of 0 or less means no limit.
    explicit rate_limiter(double per_second);

    /// Takes one operation. False if the rate is exceeded. Times must not decrease.
    bool take(monotonic_time now);

private:
    double m_per_second;
    double m_burst;
    double m_available;
    monotonic_time m_last{};
};

} // namespace siskinwharf::standins
