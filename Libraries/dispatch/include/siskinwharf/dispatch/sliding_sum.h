#pragma once

#include <deque>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// Sum of amounts in a sliding time window, counted in slices of `slice_length`.
class sliding_sum {
public:
    static constexpr milliseconds slice_length{50};

    /// Amounts are kept for `span`.
    explicit sliding_sum(milliseconds span) : m_span(span) {}

    void set_span(milliseconds span) { m_span = span; }
    /// Adds to the current slice. A negative amount reverses an earlier one.
    void add(double amount, monotonic_time now);
    /// Sum of the amounts of slices that began at `first` or later.
    [[nodiscard]] double since(monotonic_time first) const;
    /// Average amount per second over the last `span`.
    [[nodiscard]] double per_second(milliseconds span, monotonic_time now) const;

private:
    struct slice {
        monotonic_time start;
        double amount = 0;
    };

    milliseconds m_span;
    std::deque<slice> m_slices;
};

} // namespace siskinwharf::dispatch
