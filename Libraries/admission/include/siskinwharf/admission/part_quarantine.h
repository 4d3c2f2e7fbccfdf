#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::admission {

/// Identifies a part of a prompt that different requests may have in common.
using prompt_part_id = std::uint64_t;

/// A crash as peers tell each other of it: its age, because their clocks differ.
struct crash_report {
    crash_id crash = 0;
    milliseconds age{0};

    auto operator<=>(const crash_report&) const = default;
};

/// What is known of one prompt part, in the form that peers exchange.
struct part_crash_record {
    prompt_part_id part = 0;
    std::size_t position = 0;                 ///< Index of the part in its prompts.
    std::vector<crash_report> crashes;        ///< Newest first.
    std::optional<milliseconds> answered_age; ///< Since a request with the part was last answered.

    auto operator<=>(const part_crash_record&) const = default;
};

/// Limits of a `part_quarantine`.
struct part_quarantine_limits {
    /// Crashes, each of another request, after which a part is quarantined.
    std::size_t crash_threshold = 3;
    /// Crashes within this time count as one: a failure of many endpoints at once is not caused by a request.
    milliseconds simultaneous{300};
    milliseconds lifetime{600'000};      ///< Of an entry or a quarantine, counted from the last crash.
    milliseconds answered_entry{30'000}; ///< Of an entry whose part was answered since its last crash.
    std::size_t maximum_entries = 1'024;
    std::size_t maximum_crashes = 16;           ///< For each part; the newest are kept.
    std::size_t maximum_answered_parts = 4'096; ///< Parts whose last answer is remembered, at least.
};

/// Finds prompt parts that crash endpoints whatever else a request holds. A part is suspect if requests with
/// it had no event of their response yet when their endpoints crashed, and cleared as soon as a request with
/// it is answered in full. Parts that only occurred beside a quarantined one are not blamed for its crashes.
/// Performs no I/O. Not thread-safe.
class part_quarantine {
public:
    explicit part_quarantine(part_quarantine_limits limits) : m_limits(limits) {}

    /// Returns the first of these parts because of which a request must not run.
    [[nodiscard]] std::optional<prompt_part_id> find(const std::vector<prompt_part_id>& parts) const;
    /// Records that an endpoint crashed while it ran a request without an event yet. `parts` are those that
    /// other requests may share, in their order. Returns the parts that are quarantined from now on.
    std::vector<prompt_part_id> on_crash(const std::vector<prompt_part_id>& parts, crash_id crash,
                                         monotonic_time now);
    /// Records that a request with these parts was answered in full. Returns the parts that are released.
    std::vector<prompt_part_id> on_answered(const std::vector<prompt_part_id>& parts, monotonic_time now);
    /// Merges the records of a peer. Returns the parts that are quarantined from now on.
    std::vector<prompt_part_id> merge(const std::vector<part_crash_record>& records, monotonic_time now);
    /// Returns at most `maximum` records for peers, quarantined parts first, then those with the newest
    /// crash.
    [[nodiscard]] std::vector<part_crash_record> records(monotonic_time now, std::size_t maximum) const;
    /// Removes entries whose time has passed. A part whose quarantine ends is tried again, and quarantined
    /// again after one more crash. To be called every few seconds.
    void expire(monotonic_time now);
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        std::map<crash_id, monotonic_time> crashes; ///< With the earliest time known for each.
        std::size_t position = 0;
        std::optional<monotonic_time> answered;
        bool is_quarantined = false;
        bool is_on_probation = false; ///< One crash is enough.
    };

    entry& find_or_add(prompt_part_id part, std::size_t position, monotonic_time now);
    /// Returns whether the crash is new.
    bool add_crash(entry& value, crash_id crash, monotonic_time at) const;
    /// Returns whether the part is released.
    bool set_answered(entry& value, monotonic_time at);
    [[nodiscard]] std::optional<monotonic_time> last_answer(prompt_part_id part) const;
    void remember_answer(prompt_part_id part, monotonic_time now);
    /// Quarantines the parts that explain the crashes until a time best. Returns them.
    std::vector<prompt_part_id> quarantine_culprits(monotonic_time until);
    /// Number of crashes since the last answer until a time that are not in `explained`; simultaneous ones
    /// count once.
    [[nodiscard]] std::size_t count_crashes(const entry& value, const std::set<crash_id>& explained,
                                            monotonic_time until) const;
    [[nodiscard]] std::set<crash_id> explained_crashes() const;
    [[nodiscard]] static monotonic_time newest_crash(const entry& value);
    [[nodiscard]] bool has_expired(const entry& value, monotonic_time now) const;

    part_quarantine_limits m_limits;
    std::map<prompt_part_id, entry> m_entries;
    std::size_t m_quarantined = 0; ///< Entries that are quarantined.
    /// When a request with a part was last answered. The older half is dropped when the newer one is full.
    std::unordered_map<prompt_part_id, monotonic_time> m_answered;
    std::unordered_map<prompt_part_id, monotonic_time> m_answered_before;
};

} // namespace siskinwharf::admission
