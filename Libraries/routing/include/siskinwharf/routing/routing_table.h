#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "siskinwharf/routing/read_copy_update.h"
#include "siskinwharf/routing/routing_snapshot.h"

namespace siskinwharf::routing {

/// Changes to apply to the current snapshot.
struct table_changes {
    std::vector<endpoint_info> put; ///< Endpoints to add or update. An existing one keeps its load.
    std::vector<endpoint_id> remove;
    std::optional<egress_prices> egress; ///< Replaces all prices if set.
};

/// The endpoints of all targets, published as immutable snapshots. Readers take no lock; writers hold a mutex
/// and wait for the readers of the previous snapshot.
class routing_table {
public:
    routing_table();

    /// Applies the changes atomically. When the call returns, no decision uses the previous snapshot.
    /// Must not be called in a read section.
    void publish(const table_changes& changes);

    /// Marks endpoints as leaving. After the call returns, no decision chooses one of them. Unknown endpoints
    /// are ignored. Returns the number of endpoints whose state changed. Must not be called in a read
    /// section.
    std::size_t mark_leaving(const std::vector<endpoint_id>& endpoints);

    /// The current snapshot. Valid until the read section ends.
    [[nodiscard]] const routing_snapshot& read(const rcu_read_section& section) const;

    /// Description of one endpoint, or null.
    [[nodiscard]] std::shared_ptr<const endpoint_info> find_info(const endpoint_id& id) const;
    /// Load of one endpoint, or null. Remains valid after the endpoint is removed.
    [[nodiscard]] std::shared_ptr<endpoint_load> find_load(const endpoint_id& id) const;

    /// Applies a load report. Returns false if the endpoint is unknown or the report is not newer than the
    /// last one.
    bool apply_report(const endpoint_id& id, const load_report& report, monotonic_time now);

private:
    void publish_locked(const table_changes& changes);

    std::mutex m_writers;
    rcu_value<routing_snapshot> m_snapshot;
};

} // namespace siskinwharf::routing
