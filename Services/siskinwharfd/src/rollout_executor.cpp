#include "rollout_executor.h"

#include <algorithm>
#include <utility>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace {

/// Well below `drain_lifetime`, so that several lost datagrams do not end a drain.
constexpr milliseconds repeat_drained{1'000};
/// For entry processes that have just started or have missed a change.
constexpr milliseconds repeat_others{5'000};
/// Keeps a datagram below the usual 1,400 bytes that pass without fragments.
constexpr std::size_t endpoints_in_message = 16;

/// Whether entry processes see a difference between two states.
bool differs(const peer::endpoint_version& left, const peer::endpoint_version& right)
{
    return left.model != right.model || left.version != right.version ||
           left.drained.has_value() != right.drained.has_value();
}

} // namespace

void rollout_executor::step(const std::map<endpoint_id, assigned_model>& assigned,
                            control::order_planner& orders, std::uint64_t fencing, monotonic_time now)
{
    if (m_fencing != fencing) {
        // Another process may have changed endpoints since; what this one remembers is void.
        m_fencing = fencing;
        m_planner = control::rollout_planner(control::rollout_settings{});
        m_drained.clear();
        m_sent.clear();
    }
    std::vector<control::rollout_endpoint> endpoints;
    endpoints.reserve(assigned.size());
    for (const auto& [id, model] : assigned)
        endpoints.push_back(describe(id, model, orders));
    const auto plan = m_planner.plan(endpoints, now);
    m_drained.clear();
    for (const auto& [id, decision] : plan.endpoints) {
        orders.set_permitted(id, decision.may_order);
        if (decision.drained)
            m_drained.insert(id);
    }
    for (const auto& stop : plan.stopped)
        log_event(event::rollout_stopped, {{"model", stop.model.value()},
                                           {"version", stop.version},
                                           {"failures", std::to_string(stop.failures)}});
    std::erase_if(m_sent, [&](const auto& entry) { return !assigned.contains(entry.first); });
    publish(endpoints, plan, now);
}

control::rollout_endpoint rollout_executor::describe(const endpoint_id& id, const assigned_model& model,
                                                     const control::order_planner& orders) const
{
    control::rollout_endpoint result;
    result.endpoint = id;
    result.wanted = model.wanted;
    result.present = orders.present(id);
    // The routing table shows a drained endpoint as leaving. One that it does not have yet is new.
    if (const auto info = m_core.table.find_info(id))
        result.live = info->state != routing::endpoint_state::leaving || m_drained.contains(id);
    if (const auto load = m_core.table.find_load(id))
        result.streams = load->streams();
    return result;
}

void rollout_executor::publish(const std::vector<control::rollout_endpoint>& endpoints,
                               const control::rollout_plan& plan, monotonic_time now)
{
    std::vector<peer::endpoint_version> due;
    for (const auto& endpoint : endpoints) {
        if (!endpoint.present)
            continue;
        const auto& decision = plan.endpoints.at(endpoint.endpoint);
        peer::endpoint_version state{
            endpoint.endpoint, endpoint.present->model, endpoint.present->version, {}};
        if (decision.drained) {
            const auto left = std::chrono::duration_cast<milliseconds>(decision.drain_deadline - now);
            state.drained = std::max(left, milliseconds(0));
        }
        const auto sent = m_sent.find(endpoint.endpoint);
        const auto period = decision.drained ? repeat_drained : repeat_others;
        if (sent != m_sent.end() && !differs(sent->second.state, state) &&
            now - sent->second.sent_at < period)
            continue;
        m_sent.insert_or_assign(endpoint.endpoint, sent_state{state, now});
        due.push_back(std::move(state));
    }
    for (std::size_t first = 0; first < due.size(); first += endpoints_in_message) {
        peer::rollout_state message{*m_fencing, ++m_sequence, {}};
        const auto count = std::min(endpoints_in_message, due.size() - first);
        for (std::size_t index = first; index < first + count; ++index)
            message.endpoints.push_back(std::move(due[index]));
        m_on_state(message);
    }
}

} // namespace siskinwharf::entry
