#pragma once

#include <cstdint>

#include "siskinwharf/base/time.h"

namespace siskinwharf::sheet {

/// Decides when an entry process reads `sheet/current`. Pure: time and random numbers are arguments.
class poll_schedule {
public:
    /// At 370 nodes this is 185 reads/s of the table's 2,000.
    static constexpr milliseconds period{2000};
    /// Longest period while the table does not answer. With jitter a poll still starts within 4.4 s of the
    /// table's return, inside the 5 s of P7.
    static constexpr milliseconds max_period{4000};
    /// Each period is shortened or lengthened by up to this share, so that processes do not poll in step.
    static constexpr int jitter_percent = 10;
    /// A report of a newer version brings the next poll forward to a random time within this limit, so that
    /// the processes that hear of it at once do not all read in the same instant.
    static constexpr milliseconds expedite_limit{200};

    explicit poll_schedule(monotonic_time first) : m_next(first) {}

    [[nodiscard]] monotonic_time next() const { return m_next; }

    /// Sets the next poll after one ended. `random` is uniform over all values.
    void on_answer(monotonic_time now, std::uint64_t random);
    void on_no_answer(monotonic_time now, std::uint64_t random);

    /// Brings the next poll forward because a newer version was reported. While the table does not answer,
    /// the schedule stays, because the report would only repeat polls in vain.
    void expedite(monotonic_time now, std::uint64_t random);

private:
    monotonic_time m_next;
    milliseconds m_period = period;
    bool m_is_failing = false;
};

} // namespace siskinwharf::sheet
