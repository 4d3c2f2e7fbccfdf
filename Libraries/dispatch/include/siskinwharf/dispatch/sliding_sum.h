#pragma once

#include <deque>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// Sum of amounts over the last seconds, counted in slices of time.
class sliding_sum {
public:
    static constexpr milliseconds slice_length{250};

    /// Amounts are remembered for `span`.
    explicit sliding_sum(milliseconds span) : m_span(span) {}

    void set_span(milliseconds span) { m_span = span; }
    /// A negative amount takes back what was added.
    void add(double amount, monotonic_time now);
    /// Sum of the amounts of slices that began at `first` or later.
    [[nodiscard]] double since(monotonic_time first) const;
    /// Amount in a second, on average over the last `span`.
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
