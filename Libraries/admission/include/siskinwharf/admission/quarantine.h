#pragma once

#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::admission {

/// Identifies a request by its account and content, so that it is recognised when it is sent again.
struct content_key {
    account_id account;
    std::string digest; ///< SHA-256 of the body in hexadecimal digits.

    auto operator<=>(const content_key&) const = default;
};

/// Identifies one crash of one endpoint: a hash of the endpoint and its incarnation, equal in all entry
/// processes. Prevents a crash that several entry processes report from being counted more than once.
using crash_id = std::uint64_t;

/// Number of distinct crashes after which a request is quarantined.
inline constexpr std::size_t quarantine_crash_threshold = 2;

enum class content_status {
    healthy,     ///< Has no unexpired entry.
    suspect,     ///< Was running when an endpoint crashed: must run isolated.
    quarantined, ///< Must not run.
};

/// An entry in the form that peers exchange.
struct quarantine_record {
    content_key key;
    std::set<crash_id> crashes; ///< At least one, at most `quarantine_crash_threshold`.
    milliseconds remaining{0};  ///< Until the entry expires. Zero clears a suspect of `crashes`.

    auto operator<=>(const quarantine_record&) const = default;
};

/// Limits of a `quarantine`.
struct quarantine_limits {
    std::size_t maximum_entries = 4096; ///< Including tombstones.
    milliseconds lifetime{600'000};     ///< Of an entry, counted from its last crash.
    /// How long an expired or cleared entry stays as a tombstone, so that an older record from a peer does
    /// not restore it. Must exceed every message delay.
    milliseconds tombstone_lifetime{60'000};
};

/// Counts crashes by request content. Safe for concurrent use: `is_empty` and `size` are lock free, and so is
/// `status` for most requests without an entry; all other calls take a mutex.
class quarantine {
public:
    explicit quarantine(quarantine_limits limits);

    /// Whether there are no entries, tombstones included. Lets callers skip the computation of body digests.
    [[nodiscard]] bool is_empty() const noexcept { return m_size.load(std::memory_order_acquire) == 0; }
    /// Returns the status of a request at `now`.
    [[nodiscard]] content_status status(const content_key& key, monotonic_time now) const;

    /// Records that an endpoint crashed while it ran this request. Returns the new status.
    content_status on_crash(const content_key& key, crash_id crash, monotonic_time now);
    /// Clears a suspect that ran to completion in isolation. Has no effect on a quarantined request. Returns
    /// the record that clears it on the peers, or nothing if the request was not a suspect.
    std::optional<quarantine_record> on_finished(const content_key& key, monotonic_time now);
    /// Merges the records of a peer and ignores malformed ones. A record without a new crash does not extend
    /// the lifetime of an entry; otherwise, peers that exchange records would keep it alive forever. A record
    /// that clears a suspect has no effect on an entry that holds another crash.
    void merge(const std::vector<quarantine_record>& records, monotonic_time now);
    /// Returns at most `maximum` unexpired records for peers, in order of decreasing remaining lifetime.
    [[nodiscard]] std::vector<quarantine_record> records(monotonic_time now, std::size_t maximum) const;
    /// Removes the entries whose `tombstone_lifetime` has passed. To be called every few seconds.
    void expire(monotonic_time now);
    /// Number of entries, tombstones included.
    [[nodiscard]] std::size_t size() const noexcept { return m_size.load(std::memory_order_acquire); }

private:
    struct entry {
        std::set<crash_id> crashes;
        monotonic_time expires;
    };
    using entries = std::map<content_key, entry>;

    const entry& add(const content_key& key, const std::set<crash_id>& crashes, monotonic_time expires,
                     monotonic_time now);
    void clear(const quarantine_record& record, monotonic_time now);
    entries::iterator insert(const content_key& key, entry value, monotonic_time now);
    void evict_if_full(monotonic_time now);
    void erase(entries::iterator position);
    [[nodiscard]] static content_status status_of(const entry& value, monotonic_time now);
    [[nodiscard]] static std::size_t filter_index(const content_key& key);

    quarantine_limits m_limits;
    std::atomic<std::size_t> m_size{0};
    /// Counting filter: number of entries for each hash value. Zero means that no entry has this hash.
    std::vector<std::atomic<std::uint32_t>> m_filter;
    mutable std::mutex m_mutex;
    entries m_entries;
};

} // namespace siskinwharf::admission
