#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/control/lease_record.h"

namespace siskinwharf::control {

/// Until when, on the clock of one process, the last calls of each instance can have arrived. An entry with
/// an empty name stands for every instance.
class caller_history {
public:
    caller_history() = default;
    /// `callers` are those of a record that was written before `seen_at`.
    caller_history(const std::vector<caller_age>& callers, monotonic_time seen_at);

    /// Notes that calls of the instance can have arrived until `time`.
    void note(const std::string& instance, monotonic_time time);
    /// Replaces what is known of the instance.
    void replace(const std::string& instance, monotonic_time time);
    /// Removes the entries from before `time`.
    void forget_before(monotonic_time time);

    /// Until when a call of the instance can have arrived. Returns nothing if it made none that is still
    /// known.
    [[nodiscard]] std::optional<monotonic_time> last_of(const std::string& instance) const;
    /// Whether another instance may have made a call at or after `time`.
    [[nodiscard]] bool has_other_since(const std::string& instance, monotonic_time time) const;
    /// For a record that is written at `now`. Ages are rounded down.
    [[nodiscard]] std::vector<caller_age> ages(monotonic_time now) const;

private:
    std::map<std::string, monotonic_time> m_last_calls;
};

} // namespace siskinwharf::control
