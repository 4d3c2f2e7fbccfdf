#pragma once

#include <cstdint>
#include <vector>

#include "siskinwharf/control/capacity_planner.h"

namespace siskinwharf::control {

/// Searches for the cheapest mix of offers that still serves the demand after the loss of all reclaimable
/// instances of any one failure domain.
class capacity_mix {
public:
    /// `startable` says for each offer whether further instances can be started. `snapshot` must outlive this
    /// object.
    capacity_mix(const capacity_snapshot& snapshot, std::uint64_t demand, std::vector<bool> startable);

    /// Instances of each offer, in the order of the snapshot's offers.
    [[nodiscard]] std::vector<std::uint32_t> counts() const { return m_counts; }
    /// Whether on-demand instances were needed, or the demand cannot be served at all.
    [[nodiscard]] bool at_risk() const { return m_at_risk; }

    /// Streams that the given counts still serve when the failure domain with the most reclaimable streams
    /// loses all of them.
    [[nodiscard]] static std::uint64_t surviving(const capacity_snapshot& snapshot,
                                                 const std::vector<std::uint32_t>& counts);
    /// Cost of the given counts in microcents per hour.
    [[nodiscard]] static std::uint64_t cost(const capacity_snapshot& snapshot,
                                            const std::vector<std::uint32_t>& counts);

private:
    struct candidate_mix {
        std::vector<std::uint32_t> counts;
        std::vector<std::uint64_t> domain_streams; ///< Reclaimable streams of each failure domain.
        std::vector<std::uint64_t> domain_spend;
        std::uint64_t streams = 0;
    };

    /// Sets the counts to those of the best mix. Returns whether it serves the demand after a loss.
    bool select(bool with_on_demand);
    [[nodiscard]] candidate_mix empty_mix() const;
    [[nodiscard]] std::size_t domain_of(std::size_t offer) const { return m_domains[offer]; }
    [[nodiscard]] std::uint32_t max_count(std::size_t offer) const;
    /// Adds instances of one offer for up to `streams` further streams, within the budget of its failure
    /// domain and up to `cap` reclaimable streams there.
    void add_instances(candidate_mix& mix, std::size_t offer, std::uint64_t streams, std::uint64_t cap) const;
    [[nodiscard]] candidate_mix fill_reclaimable(std::uint64_t cap) const;
    void add_on_demand(candidate_mix& mix) const;
    [[nodiscard]] static std::uint64_t worst_loss(const candidate_mix& mix);

    const capacity_snapshot& m_snapshot;
    const std::uint64_t m_demand;
    const std::vector<bool> m_startable;
    std::vector<std::size_t> m_domains; ///< Index into the budgets, for each offer.
    std::vector<std::size_t> m_offers_by_price;
    std::vector<std::uint32_t> m_counts;
    bool m_at_risk = false;
};

} // namespace siskinwharf::control
