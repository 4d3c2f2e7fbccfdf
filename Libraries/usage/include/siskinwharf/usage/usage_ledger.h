#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::usage {

/// Number of a window of wall-clock time since the epoch.
using window_number = std::int64_t;

/// Requests of each account that began to run in one window.
using window_counts = std::map<account_id, std::uint64_t>;

/// What one start of one process has counted in one window. Only ever grows, so that the larger of two copies
/// is the newer one.
struct usage_entry {
    instance_id process;
    std::uint64_t start = 0; ///< Random number of the process's start.
    window_number window = 0;
    window_counts counts;

    bool operator==(const usage_entry&) const = default;
};

/// Counts of the newest windows from all processes, so that whichever process has to report a window can do
/// so, also for processes that have died since.
class usage_ledger {
public:
    /// Windows that are kept.
    static constexpr window_number kept_windows = 12;

    usage_ledger(instance_id process, std::uint64_t start) : m_own(std::move(process), start) {}

    /// Counts a request of this process.
    void add(const account_id& account, window_number window);
    /// Takes over what a process says about itself.
    void merge(const usage_entry& entry);

    /// This process's entries of the windows from `first` on.
    [[nodiscard]] std::vector<usage_entry> own_entries(window_number first) const;
    /// Sum over all processes.
    [[nodiscard]] window_counts total(window_number window) const;
    /// Forgets the windows before `current` that are not kept.
    void forget(window_number current);

private:
    using process_key = std::pair<instance_id, std::uint64_t>;

    process_key m_own;
    std::map<window_number, std::map<process_key, window_counts>> m_windows;
};

/// `account=count` pairs separated by commas, as a report is kept until it is sent.
[[nodiscard]] std::string encode(const window_counts& counts);
/// The inverse of `encode`. Throws `usage_error` for other text.
[[nodiscard]] window_counts decode_counts(std::string_view text);

} // namespace siskinwharf::usage
