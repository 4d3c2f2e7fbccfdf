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

/// Names a request by what it contains, so that it is recognised when it is resent.
struct content_key {
    account_id account;
    std::string digest; ///< SHA-256 of the body in hexadecimal digits.

    auto operator<=>(const content_key&) const = default;
};

/// Number of one death of one endpoint, the same at all entry processes: a hash of the endpoint and its
/// incarnation. Keeps one death that several entry processes report from being counted twice.
using crash_id = std::uint64_t;

/// Different crashes after which a request is quarantined.
inline constexpr std::size_t quarantine_crash_threshold = 2;

enum class content_status {
    healthy,
    suspect,     ///< Was running when an endpoint died: must run isolated.
    quarantined, ///< Must not run.
};

/// An entry as peers exchange it.
struct quarantine_record {
    content_key key;
    std::set<crash_id> crashes; ///< At most `quarantine_crash_threshold`.
    milliseconds remaining{0};  ///< Until the entry expires. Zero clears a suspect of these crashes.

    auto operator<=>(const quarantine_record&) const = default;
};

/// Limits of a `quarantine`.
struct quarantine_limits {
    std::size_t maximum_entries = 4096;
    milliseconds lifetime{600'000}; ///< Of an entry after its last crash.
    /// How long the crashes of an expired or cleared entry are remembered, so that a peer's older record does
    /// not bring it back. Longer than any delay of a message.
    milliseconds tombstone_lifetime{60'000};
};

/// Crash counts by account and content. Safe for concurrent use: `is_empty` is lock free, and so is `status`
/// for nearly all requests that have no entry; the others take a mutex.
class quarantine {
public:
    explicit quarantine(quarantine_limits limits);

    /// Whether there are no entries at all, expired ones included. The digest of a body is only needed if
    /// there are some.
    [[nodiscard]] bool is_empty() const noexcept { return m_size.load(std::memory_order_acquire) == 0; }
    [[nodiscard]] content_status status(const content_key& key, monotonic_time now) const;

    /// Records that an endpoint died without notice while it ran this request. Returns the new status.
    content_status on_crash(const content_key& key, crash_id crash, monotonic_time now);
    /// Clears a suspect that ran to its end in isolation. Has no effect on a quarantined request. Returns the
    /// record that clears it at the peers, or nothing if it was no suspect.
    std::optional<quarantine_record> on_finished(const content_key& key, monotonic_time now);
    /// Merges a peer's records. Malformed ones are ignored. A record without a new crash does not prolong an
    /// entry, since records that go back and forth would otherwise keep it for ever. A record that clears has
    /// no effect on an entry with another crash.
    void merge(const std::vector<quarantine_record>& records, monotonic_time now);
    /// Returns at most `maximum` records for peers, those that expire last first.
    [[nodiscard]] std::vector<quarantine_record> records(monotonic_time now, std::size_t maximum) const;
    /// Removes the entries whose tombstone_lifetime has ended. To be called every few seconds.
    void expire(monotonic_time now);
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
    void make_room(monotonic_time now);
    void erase(entries::iterator position);
    [[nodiscard]] static content_status status_of(const entry& value, monotonic_time now);
    [[nodiscard]] static std::size_t filter_index(const content_key& key);

    quarantine_limits m_limits;
    std::atomic<std::size_t> m_size{0};
    /// Entries for each hash value. Zero means that no entry has this hash.
    std::vector<std::atomic<std::uint32_t>> m_filter;
    mutable std::mutex m_mutex;
    entries m_entries;
};

} // namespace siskinwharf::admission
