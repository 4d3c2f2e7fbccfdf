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

/// Times of the reports.
struct report_timing {
    milliseconds window{5'000};
    milliseconds due{10'000};        ///< From the end of a window.
    milliseconds settle_time{2'000}; ///< From the end of a window until it is reported, heard of all or not.
};

/// Store the counts of a window before they are sent. Pass the result to `stored`.
struct store_report {
    window_number window = 0;
    cloud::table_transaction transaction;

    bool operator==(const store_report&) const = default;
};

/// Read what is stored for a window. Pass the result to `read`.
struct read_report {
    window_number window = 0;
    std::string key;

    auto operator<=>(const read_report&) const = default;
};

/// Send a report; it is stored. Pass the result to `sent`.
struct send_report {
    window_number window = 0;
    window_counts counts;

    bool operator==(const send_report&) const = default;
};

using report_action = std::variant<store_report, read_report, send_report>;

/// Which report the holder of the duties stores, reads or sends next. The counts of a window are stored under
/// a condition before they are sent, so that each later holder sends the same ones.
class report_scheduler {
public:
    explicit report_scheduler(report_timing times) : m_times(times) {}

    /// Nothing while there is nothing to do. All processes have told their counts until `heard_until`.
    [[nodiscard]] std::optional<report_action> next(wall_time now, const usage_ledger& ledger,
                                                    const std::vector<account_id>& accounts,
                                                    wall_time heard_until = wall_time{});
    void stored(window_number window, const cloud::commit_result& result);
    void read(window_number window, const cloud::read_result& result);
    void sent(window_number window, bool is_accepted);
    /// Another process may have stored or sent reports since. For a new holder.
    void restart() { m_windows.clear(); }

private:
    enum class step { store, read, send, done };
    struct window_state {
        step next = step::store;
        window_counts counts;
    };

    report_timing m_times;
    std::map<window_number, window_state> m_windows;
};

} // namespace siskinwharf::usage
