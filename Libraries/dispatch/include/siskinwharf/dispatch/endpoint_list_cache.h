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
class endpoint_list_cache {
public:
    /// Time that endpoints have to register again after an outage of the store.
    static constexpr milliseconds reregistration_time{2'500};

    void on_store_disconnected(monotonic_time now);
    void on_store_reconnected(monotonic_time now);

    /// Replaces the list by a complete list from the store.
    void replace(const std::vector<endpoint_record>& records, monotonic_time now);
    /// Replaces the list by a complete list from a peer that reads the store. Entries that are missing there
    /// are removed at once, also after an outage.
    void replace_from_peer(const std::vector<endpoint_record>& records);
    /// Adds or replaces one entry.
    void update(const endpoint_record& record);
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
    /// Whether the entry may be missing only because of an outage of the store.
    [[nodiscard]] bool may_reregister(const endpoint_record& record, monotonic_time now) const;

    std::map<endpoint_id, entry> m_entries;
    bool m_is_disconnected = false;
    std::optional<monotonic_time> m_reconnected_at;
};

} // namespace siskinwharf::dispatch
