#include "siskinwharf/control/rollout_planner.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <tuple>

namespace siskinwharf::control {

namespace {

std::pair<model_id, std::string> version_of(const endpoint_configuration& configuration)
{
    return {configuration.model, configuration.version};
}

bool is_in_force(const rollout_endpoint& endpoint)
{
    return endpoint.present && *endpoint.present == endpoint.wanted;
}

/// Whether only adapters or the role differ, which an engine changes without interrupting its model.
bool keeps_version(const rollout_endpoint& endpoint)
{
    return endpoint.present && version_of(*endpoint.present) == version_of(endpoint.wanted);
}

} // namespace

rollout_plan rollout_planner::plan(const std::vector<rollout_endpoint>& endpoints, monotonic_time now)
{
    refill_load_tokens(now);
    if (now - m_planned_at > m_settings.longest_plan_gap) {
        for (auto& [id, known] : m_progress) {
            if (known.current_phase == phase::draining)
                known.current_phase = phase::idle;
        }
    }
    m_planned_at = now;
    std::set<endpoint_id> listed;
    std::set<model_id> models;
    for (const auto& endpoint : endpoints) {
        listed.insert(endpoint.endpoint);
        models.insert(endpoint.wanted.model);
        observe(endpoint, now);
    }
    std::erase_if(m_progress, [&](const auto& entry) { return !listed.contains(entry.first); });
    for (const auto& endpoint : endpoints)
        advance(endpoint, now);
    for (const auto& model : models)
        start_changes(endpoints, model, now);
    rollout_plan result;
    for (const auto& endpoint : endpoints)
        result.endpoints.emplace(endpoint.endpoint, decide(endpoints, endpoint));
    result.stopped = std::exchange(m_stopped, {});
    return result;
}

void rollout_planner::order_refused(const endpoint_id& endpoint, monotonic_time now)
{
    const auto found = m_progress.find(endpoint);
    if (found != m_progress.end() && found->second.current_phase == phase::ordered)
        record_failure(found->second, now);
}

void rollout_planner::observe(const rollout_endpoint& endpoint, monotonic_time now)
{
    const auto [position, added] = m_progress.try_emplace(endpoint.endpoint);
    auto& known = position->second;
    if (added)
        known.unavailable_since = now;
    if (known.wanted != endpoint.wanted) {
        known.wanted = endpoint.wanted;
        known.failures = 0;
        known.retry_at = now;
        known.was_in_force = false;
        known.phase_since = now;
        if (known.current_phase == phase::draining)
            known.current_phase = phase::idle;
    }
    const bool served = std::exchange(known.serving, false);
    if (endpoint.present && !endpoint.present->model.empty()) {
        const auto version = version_of(*endpoint.present);
        if (!endpoint.present->loading)
            known.loaded = version;
        known.serving = endpoint.live && known.current_phase != phase::ordered && known.loaded == version;
    }
    if (served && !known.serving)
        known.unavailable_since = now;
}

void rollout_planner::advance(const rollout_endpoint& endpoint, monotonic_time now)
{
    auto& known = m_progress.at(endpoint.endpoint);
    if (is_in_force(endpoint)) {
        if (known.current_phase == phase::ordered)
            m_versions[version_of(known.wanted)] = {};
        known.current_phase = phase::idle;
        known.failures = 0;
        known.was_in_force = true;
        known.serving = endpoint.live;
        return;
    }
    if (known.current_phase == phase::ordered && now - known.phase_since > m_settings.longest_load) {
        record_failure(known, now);
        return;
    }
    // The load was ordered by an earlier holder of the lease.
    if (known.current_phase == phase::idle && !known.serving && keeps_version(endpoint) &&
        endpoint.present->loading && known.failures == 0) {
        known.current_phase = phase::ordered;
        known.phase_since = now;
        return;
    }
    if (known.current_phase != phase::draining || now - known.phase_since < m_settings.shortest_drain)
        return;
    const bool is_empty = endpoint.streams == 0 || now - known.phase_since >= m_settings.longest_drain;
    if (!is_empty || !try_take_load())
        return;
    known.current_phase = phase::ordered;
    known.phase_since = now;
    known.serving = false;
    known.unavailable_since = now;
}

void rollout_planner::record_failure(progress& failed, monotonic_time now)
{
    failed.current_phase = phase::idle;
    const auto doublings = std::min<std::uint32_t>(failed.failures, 16);
    failed.retry_at =
        now + std::min(m_settings.first_backoff * (std::int64_t{1} << doublings), m_settings.longest_backoff);
    ++failed.failures;
    auto& version = m_versions[version_of(failed.wanted)];
    ++version.failures;
    if (version.failures < m_settings.failures_until_stop)
        return;
    version.retry_at = now + m_settings.retry_stopped_every;
    if (!std::exchange(version.stopped, true))
        m_stopped.push_back({failed.wanted.model, failed.wanted.version, version.failures});
}

void rollout_planner::refill_load_tokens(monotonic_time now)
{
    const std::chrono::duration<double, std::ratio<60>> minutes = now - m_planned_at;
    m_load_tokens =
        std::min(m_settings.burst_loads, m_load_tokens + minutes.count() * m_settings.loads_per_minute);
}

bool rollout_planner::try_take_load()
{
    if (m_load_tokens < 1)
        return false;
    m_load_tokens -= 1;
    return true;
}

std::size_t rollout_planner::concurrency_limit(const endpoint_list& endpoints, const model_id& model,
                                               const version_key& version) const
{
    const auto group =
        std::ranges::count(endpoints, model, [](const auto& each) { return each.wanted.model; });
    const bool is_proven = std::ranges::any_of(
        endpoints, [&](const auto& each) { return is_in_force(each) && version_of(each.wanted) == version; });
    const auto share = static_cast<std::size_t>(group) * m_settings.percent_at_once / 100;
    return is_proven ? std::max<std::size_t>(1, share) : 1;
}

std::size_t rollout_planner::count_unavailable(const endpoint_list& endpoints, const model_id& model,
                                               monotonic_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(endpoints, [&](const auto& each) {
        const auto& known = progress_of(each);
        if (each.wanted.model != model)
            return false;
        if (known.current_phase == phase::draining)
            return true;
        return !known.serving && now - known.unavailable_since < m_settings.ignore_unavailable_after;
    }));
}

std::vector<const rollout_endpoint*>
rollout_planner::candidates(const endpoint_list& endpoints, const model_id& model, monotonic_time now) const
{
    std::vector<const rollout_endpoint*> result;
    for (const auto& each : endpoints) {
        const auto& known = progress_of(each);
        const bool is_due = known.current_phase == phase::idle && now >= known.retry_at;
        // A serving endpoint that keeps its version is ordered without a drain, so it is no candidate.
        const bool needs_change =
            each.present && !is_in_force(each) && !(known.serving && keeps_version(each));
        if (each.wanted.model == model && is_due && each.live && needs_change)
            result.push_back(&each);
    }
    const auto rank = [&](const rollout_endpoint* each) {
        const auto& known = progress_of(*each);
        // Endpoints that do not serve come first, as changing them costs no capacity.
        return std::tuple(known.serving, known.serving && is_last_of_model(endpoints, *each), known.failures,
                          each->endpoint);
    };
    std::ranges::sort(result, {}, rank);
    return result;
}

bool rollout_planner::is_last_of_model(const endpoint_list& endpoints, const rollout_endpoint& endpoint) const
{
    return std::ranges::none_of(endpoints, [&](const auto& other) {
        const auto& known = progress_of(other);
        return other.endpoint != endpoint.endpoint && known.serving && known.current_phase == phase::idle &&
               other.present->model == endpoint.present->model;
    });
}

bool rollout_planner::has_pending_replacement(const endpoint_list& endpoints,
                                              const rollout_endpoint& endpoint, monotonic_time now) const
{
    return std::ranges::any_of(endpoints, [&](const auto& other) {
        const auto& known = progress_of(other);
        return other.endpoint != endpoint.endpoint && other.live && !known.serving &&
               other.wanted.model == endpoint.present->model &&
               now - known.unavailable_since < m_settings.ignore_unavailable_after;
    });
}

void rollout_planner::start_changes(const endpoint_list& endpoints, const model_id& model, monotonic_time now)
{
    for (const auto* each : candidates(endpoints, model, now)) {
        auto& known = m_progress.at(each->endpoint);
        const auto version = version_of(each->wanted);
        auto& state = m_versions[version];
        const auto limit = state.stopped ? 1 : concurrency_limit(endpoints, model, version);
        const auto changing =
            static_cast<std::size_t>(std::ranges::count_if(endpoints, [&](const auto& other) {
                return other.wanted.model == model && progress_of(other).current_phase != phase::idle;
            }));
        if (changing >= limit || (state.stopped && now < state.retry_at))
            continue;
        // A delayed order of an earlier holder has reverted the version. Entry processes send this endpoint
        // no requests that it can serve, so there is nothing to drain.
        const bool is_correction = known.was_in_force;
        if (!known.serving || is_correction) {
            if (!try_take_load())
                return;
            known.current_phase = phase::ordered;
            known.phase_since = now;
            known.serving = false;
            continue;
        }
        if (count_unavailable(endpoints, model, now) >= limit)
            continue;
        if (is_last_of_model(endpoints, *each) && has_pending_replacement(endpoints, *each, now))
            continue;
        known.current_phase = phase::draining;
        known.phase_since = now;
    }
}

rollout_decision rollout_planner::decide(const endpoint_list& endpoints,
                                         const rollout_endpoint& endpoint) const
{
    const auto& known = progress_of(endpoint);
    rollout_decision result;
    result.may_order = known.current_phase == phase::ordered || (known.serving && keeps_version(endpoint));
    const auto served_by_another = [&](const model_id& model, const std::string* version) {
        return std::ranges::any_of(endpoints, [&](const auto& other) {
            const auto& other_progress = progress_of(other);
            return other.endpoint != endpoint.endpoint && other_progress.serving &&
                   other_progress.current_phase == phase::idle && other.present->model == model &&
                   (version == nullptr || other.present->version == *version);
        });
    };
    result.drained = known.current_phase != phase::idle;
    if (!result.drained && endpoint.present && !known.serving)
        result.drained = served_by_another(endpoint.wanted.model, nullptr);
    if (known.current_phase == phase::draining) {
        const bool can_move =
            endpoint.present && served_by_another(endpoint.present->model, &endpoint.present->version);
        result.drain_deadline =
            known.phase_since + (can_move ? m_settings.move_streams_after : m_settings.longest_drain);
    }
    return result;
}

} // namespace siskinwharf::control
