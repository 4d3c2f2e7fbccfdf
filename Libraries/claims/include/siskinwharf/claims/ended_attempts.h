#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "siskinwharf/base/time.h"
#include "siskinwharf/claims/claim_action.h"

namespace siskinwharf::claims {

struct ended_attempt_limits {
    milliseconds kept_for{5'000}; ///< Longer than a peer takes from reading the row to asking its holder.
    std::size_t maximum_entries = 1'024;
};

/// What the attempts of this process ended with, for peers that read the claim's row before the end and ask
/// after it. Not thread-safe.
class ended_attempts {
public:
    explicit ended_attempts(ended_attempt_limits limits = {}) : m_limits(limits) {}

    /// Keeps the reply if it is final: `holder_done` or `holder_abandoned`. The oldest replies make room.
    void add(attempt_number attempt, holder_reply reply, monotonic_time now);
    [[nodiscard]] std::optional<holder_reply> find(attempt_number attempt, monotonic_time now) const;

private:
    struct entry {
        holder_reply reply;
        monotonic_time ended;
    };

    void remove_oldest();

    ended_attempt_limits m_limits;
    std::map<attempt_number, entry> m_entries;
    std::deque<attempt_number> m_order; ///< Oldest first.
};

} // namespace siskinwharf::claims
