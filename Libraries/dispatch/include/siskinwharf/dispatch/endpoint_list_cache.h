#pragma once

#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// The list of endpoints as a process believes it. Entries lapse while the store is away although their
/// endpoints serve on, so that an entry that is missing right after an outage is kept until its endpoint has
/// had time to register again. Leaving endpoints are never kept that way.
class endpoint_list_cache {
public:
    /// Time in which endpoints register again after an outage of the store.
    static constexpr milliseconds reregistration_time{2'500};

    void on_store_disconnected(monotonic_time now);
    void on_store_reconnected(monotonic_time now);

    /// The whole list, from the store.
    void replace(const std::vector<endpoint_record>& records, monotonic_time now);
    /// The whole list, from a peer that has it from the store. What is missing there is gone.
    void replace_from_peer(const std::vector<endpoint_record>& records);
    void update(const endpoint_record& record);
    void remove(const endpoint_id& endpoint, monotonic_time now);

    /// The endpoints as of now.
    [[nodiscard]] std::vector<endpoint_record> current(monotonic_time now);
    /// When `current` changes next without an update.
    [[nodiscard]] std::optional<monotonic_time> next_expiry() const;

private:
    struct entry {
        endpoint_record record;
        std::optional<monotonic_time> expires; ///< Of an entry that is missing from the store.
    };
    [[nodiscard]] bool may_reregister(const endpoint_record& record, monotonic_time now) const;

    std::map<endpoint_id, entry> m_entries;
    bool m_is_disconnected = false;
    std::optional<monotonic_time> m_reconnected_at;
};

} // namespace siskinwharf::dispatch
