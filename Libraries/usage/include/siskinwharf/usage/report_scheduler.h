#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "siskinwharf/base/time.h"
#include "siskinwharf/cloud/table.h"
#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::usage {

/// Times that determine when usage reports are sent.
struct report_timing {
    milliseconds window{5'000}; ///< Length of a reported window.
    milliseconds due{10'000};   ///< Time after the end of a window by which its report must be sent.
    /// Time after the end of a window at which it is reported even if counts of some processes are missing.
    milliseconds settle_time{2'000};
};

/// Action: store the counts of a window before they are sent. The result goes to `report_scheduler::stored`.
struct store_report {
    window_number window = 0;
    cloud::table_transaction transaction;

    bool operator==(const store_report&) const = default;
};

/// Action: read the stored counts of a window. The result goes to `report_scheduler::read`.
struct read_report {
    window_number window = 0;
    std::string key; ///< Key of the row in the table.

    auto operator<=>(const read_report&) const = default;
};

/// Action: send a report that is already stored. The result goes to `report_scheduler::sent`.
struct send_report {
    window_number window = 0;
    window_counts counts;

    bool operator==(const send_report&) const = default;
};

using report_action = std::variant<store_report, read_report, send_report>;

/// Determines which report the process that holds the reporting duty stores, reads or sends next. The counts
/// of a window are stored with a conditional write before they are sent, so that every process that takes
/// over the duty sends the same counts.
class report_scheduler {
public:
    explicit report_scheduler(report_timing times) : m_times(times) {}

    /// The next action, or nothing if there is nothing to do. `counts_received_until` is the time up to which
    /// the counts of all processes have arrived. `store_complete_since` is a time since which the store has
    /// lost nothing: a window that ended before and has no row may have been reported, with counts that the
    /// store has lost, and is left out.
    [[nodiscard]] std::optional<report_action> next(wall_time now, const usage_ledger& ledger,
                                                    const std::vector<account_id>& accounts,
                                                    wall_time counts_received_until = wall_time{},
                                                    wall_time store_complete_since = wall_time{});
    /// Takes the result of a `store_report`.
    void stored(window_number window, const cloud::commit_result& result);
    /// Takes the result of a `read_report`.
    void read(window_number window, const cloud::read_result& result);
    /// Takes the result of a `send_report`. A report that was not accepted is sent again.
    void sent(window_number window, bool is_accepted);
    /// Discards the state of the windows whose counts are not known to be stored. A process that takes over
    /// the duty calls this, because another process may have stored reports in the meantime. Counts that were
    /// stored once stay those of their window, even if the store loses them.
    void restart();

private:
    enum class step { store, read, send, done };
    struct window_state {
        step next = step::store;
        window_counts counts;
        bool is_absent = false; ///< The store has no row of this window.
    };

    report_timing m_times;
    std::map<window_number, window_state> m_windows;
};

} // namespace siskinwharf::usage
