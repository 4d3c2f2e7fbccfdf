#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "entry_core.h"
#include "model_assignment.h"
#include "siskinwharf/control/order_planner.h"
#include "siskinwharf/control/rollout_planner.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// Carries the decisions of the `rollout_planner` to the order planner and to the entry processes of the
/// failure domain. Used by the lease holder on the control thread.
class rollout_executor {
public:
    /// Tells this process and its peers.
    using state_handler = std::function<void(const peer::rollout_state&)>;

    rollout_executor(entry_core& core, state_handler on_state) : m_core(core), m_on_state(std::move(on_state))
    {
    }

    /// Plans and permits or holds back orders. Called at each step of the holder.
    void step(const std::map<endpoint_id, assigned_model>& assigned, control::order_planner& orders,
              std::uint64_t fencing, monotonic_time now);
    void order_refused(const endpoint_id& endpoint, monotonic_time now)
    {
        m_planner.order_refused(endpoint, now);
    }

private:
    struct sent_state {
        peer::endpoint_version state;
        monotonic_time sent_at;
    };

    [[nodiscard]] control::rollout_endpoint describe(const endpoint_id& id, const assigned_model& model,
                                                     const control::order_planner& orders) const;
    void publish(const std::vector<control::rollout_endpoint>& endpoints, const control::rollout_plan& plan,
                 monotonic_time now);

    entry_core& m_core;
    state_handler m_on_state;
    control::rollout_planner m_planner{control::rollout_settings{}};
    std::optional<std::uint64_t> m_fencing;
    std::uint64_t m_sequence = 0;
    std::set<endpoint_id> m_drained;
    std::map<endpoint_id, sent_state> m_sent;
};

} // namespace siskinwharf::entry
