#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "siskinwharf/routing/read_copy_update.h"
#include "siskinwharf/routing/routing_snapshot.h"

namespace siskinwharf::routing {

/// What changes from one snapshot to the next.
struct table_changes {
    std::vector<endpoint_info> put; ///< New or changed endpoints. A known one keeps its load.
    std::vector<endpoint_id> remove;
    std::optional<egress_prices> egress;
};

/// The endpoints of all targets, published as immutable snapshots. Readers take no lock; writers queue on a
/// mutex and wait for the readers of the old snapshot.
class routing_table {
public:
    routing_table();

    /// Publishes the changes together. When the call returns, no decision uses the old snapshot.
    /// Must not be called in a read section.
    void publish(const table_changes& changes);

    /// Marks endpoints as leaving. When the call returns, no decision chooses one of them any more. Unknown
    /// endpoints are skipped. Returns how many changed their state.
    std::size_t mark_leaving(const std::vector<endpoint_id>& endpoints);

    /// The current snapshot. Valid until the read section ends.
    [[nodiscard]] const routing_snapshot& read(const rcu_read_section& section) const;

    /// Description of one endpoint, or null.
    [[nodiscard]] std::shared_ptr<const endpoint_info> find_info(const endpoint_id& id) const;
    /// Load of one endpoint, or null. Stays valid after the endpoint was removed.
    [[nodiscard]] std::shared_ptr<endpoint_load> find_load(const endpoint_id& id) const;

    /// Takes in a load report. Returns false if the endpoint is unknown or the report is not newer than the
    /// last one.
    bool apply_report(const endpoint_id& id, const load_report& report, monotonic_time now);

private:
    void publish_locked(const table_changes& changes);

    std::mutex m_writers;
    rcu_value<routing_snapshot> m_snapshot;
};

} // namespace siskinwharf::routing
