#pragma once

#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// A process's copy of the list of endpoints in the platform's store. During an outage of the store,
/// registrations expire although their endpoints continue to serve. An entry that is missing right after an
/// outage is therefore kept until its endpoint has had time to register again. Entries of leaving endpoints
/// are not kept.
///
/// A store that was restored from an older copy has entries that are no longer true. For some time, until
/// their endpoints have written them again or they have expired, an endpoint that is known to be leaving, or
/// to be gone, stays so.
class endpoint_list_cache {
public:
    /// Time that endpoints have to register again after an outage of the store.
    static constexpr milliseconds reregistration_time{2'500};
    /// Time after a restore of the store within which an endpoint that is alive has written its entry again,
    /// and the entry of one that is not has expired.
    static constexpr milliseconds stale_entry_time{6'000};
    /// Time for which an endpoint that left is remembered. A store goes back by less.
    static constexpr milliseconds memory_time{60'000};

    void on_store_disconnected(monotonic_time now);
    void on_store_reconnected(monotonic_time now);
    /// The store came back from an older copy. The next list is one of that copy.
    void on_store_restored(monotonic_time now);

    /// Replaces the list by a complete list from the store.
    void replace(const std::vector<endpoint_record>& records, monotonic_time now);
    /// Replaces the list by a complete list from a peer that reads the store. Entries that are missing there
    /// are removed at once, also after an outage.
    void replace_from_peer(const std::vector<endpoint_record>& records, monotonic_time now);
    /// Adds or replaces one entry.
    void update(const endpoint_record& record, monotonic_time now);
    /// Removes one entry, unless its endpoint may register again after an outage.
    void remove(const endpoint_id& endpoint, monotonic_time now);

    /// Drops expired entries and returns the endpoints.
    [[nodiscard]] std::vector<endpoint_record> current(monotonic_time now);
    /// Time of the next change of `current` without an update, or nothing if no entry expires.
    [[nodiscard]] std::optional<monotonic_time> next_expiry() const;

private:
    struct entry {
        endpoint_record record;
        std::optional<monotonic_time> expires; ///< Set while the entry is missing from the store.
    };
    using entries = std::map<endpoint_id, entry>;
    /// An incarnation that left, as it was last seen in the store.
    struct departure {
        std::uint64_t started_ms = 0;
        std::uint64_t sequence = 0;
        bool is_gone = false; ///< The entry was removed. Otherwise it said that the endpoint is leaving.
        monotonic_time seen{};
    };

    /// Whether the entry may be missing only because of an outage of the store.
    [[nodiscard]] bool may_reregister(const endpoint_record& record, monotonic_time now) const;
    /// Whether entries may still be those of the older copy.
    [[nodiscard]] bool may_be_stale(monotonic_time now) const;
    /// Puts a record that was read into `target`, unless it is of an older incarnation than the known one.
    void put(entries& target, const endpoint_record& record, monotonic_time now);
    /// Keeps a known entry that is missing from the store for a time.
    void keep(entries& target, entry known, monotonic_time now) const;
    /// Forgets the restore once its stale entries are gone.
    void end_stale_time(monotonic_time now);
    void remember_departure(const endpoint_record& record, bool is_gone, monotonic_time now);
    /// The departure that a record from an older copy does not show, or null.
    [[nodiscard]] const departure* hidden_departure(const endpoint_record& record, monotonic_time now) const;

    entries m_entries;
    std::map<endpoint_id, departure> m_departures;
    bool m_is_disconnected = false;
    std::optional<monotonic_time> m_reconnected_at;
    std::optional<monotonic_time> m_restored_at;
};

} // namespace siskinwharf::dispatch
