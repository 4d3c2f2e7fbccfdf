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

/// Index of a window of wall-clock time, counted from the epoch.
using window_number = std::int64_t;

/// Number of requests by account that began to run in one window.
using window_counts = std::map<account_id, std::uint64_t>;

/// Counts of one process incarnation in one window. The counts only increase, so of two copies the larger one
/// is newer.
struct usage_entry {
    instance_id process;
    std::uint64_t start = 0; ///< Random number that identifies the incarnation.
    window_number window = 0;
    window_counts counts;

    bool operator==(const usage_entry&) const = default;
};

/// Counts of the newest windows from all processes. Every process keeps a copy, so that any of them can
/// report a window, including the counts of processes that have died since.
class usage_ledger {
public:
    /// Number of windows before the current one that are kept.
    static constexpr window_number kept_windows = 12;

    usage_ledger(instance_id process, std::uint64_t start) : m_own(std::move(process), start) {}

    /// Counts one request of this process.
    void add(const account_id& account, window_number window);
    /// Merges the counts that another process reports about itself. Older or repeated copies have no effect.
    void merge(const usage_entry& entry);

    /// Merges the sum over the processes of another failure domain. The processes of such a domain must not
    /// be merged one by one as well.
    void merge_domain(const failure_domain_id& domain, const usage_entry& sum);

    /// Entries of this process for window `first` and later.
    [[nodiscard]] std::vector<usage_entry> own_entries(window_number first) const;
    /// Sums over this process and those merged one by one, for window `first` and later.
    [[nodiscard]] std::vector<usage_entry> domain_entries(window_number first) const;
    /// Sum over all processes; empty for an unknown window.
    [[nodiscard]] window_counts total(window_number window) const;
    /// Removes the windows more than `kept_windows` before `current`.
    void forget(window_number current);

private:
    using process_key = std::pair<instance_id, std::uint64_t>;

    process_key m_own;
    std::map<window_number, std::map<process_key, window_counts>> m_windows;
    std::map<window_number, std::map<failure_domain_id, window_counts>> m_domains;
};

/// Encodes counts as `account=count` pairs separated by commas, the format of a stored report.
[[nodiscard]] std::string encode(const window_counts& counts);
/// Decodes the output of `encode`. Throws `usage_error` if the text is malformed.
[[nodiscard]] window_counts decode_counts(std::string_view text);

} // namespace siskinwharf::usage
