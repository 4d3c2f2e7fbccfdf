#include "version_choice.h"

#include <algorithm>
#include <tuple>

namespace siskinwharf::entry {

namespace {

/// Room for a version, compared from the first member to the last.
struct version_room {
    std::uint32_t free_in_domain = 0;
    std::uint32_t endpoints_in_domain = 0;
    std::uint32_t free_elsewhere = 0;
    std::uint32_t endpoints_elsewhere = 0;

    auto operator<=>(const version_room&) const = default;
};

version_room room_of(const routing::target_endpoints& endpoints, const version_question& question)
{
    version_room result;
    for (const auto& group : endpoints.groups) {
        const bool is_own = group->domain == question.domain;
        for (const auto& entry : group->endpoints) {
            if (std::ranges::find(question.excluded, entry.info->id) != question.excluded.end())
                continue;
            const auto used = entry.load->streams();
            const auto free = entry.capacity > used ? entry.capacity - used : 0;
            (is_own ? result.free_in_domain : result.free_elsewhere) += free;
            ++(is_own ? result.endpoints_in_domain : result.endpoints_elsewhere);
        }
    }
    return result;
}

} // namespace

std::optional<std::string> choose_version(const routing::routing_table& table,
                                          const version_question& question)
{
    const routing::rcu_read_section section;
    const auto& snapshot = table.read(section);
    const std::string* best = nullptr;
    const routing::target_endpoints* best_endpoints = nullptr;
    version_room best_room;
    const auto consider = [&](const std::string& version, const routing::target_endpoints& endpoints) {
        // Most of the time only one version has endpoints, and nothing has to be counted.
        if (best_endpoints != nullptr && best_room == version_room{})
            best_room = room_of(*best_endpoints, question);
        const auto room = best_endpoints == nullptr ? version_room{} : room_of(endpoints, question);
        if (best_endpoints != nullptr && room <= best_room)
            return;
        best = &version;
        best_endpoints = &endpoints;
        best_room = room;
    };
    for (const auto& version : question.versions) {
        const auto found = snapshot.targets.find(routing::model_target{question.model, version});
        if (found != snapshot.targets.end() && !found->second.groups.empty())
            consider(version, found->second);
    }
    if (best != nullptr)
        return *best;
    for (const auto& [target, endpoints] : snapshot.targets) {
        const auto* serves = std::get_if<routing::model_target>(&target);
        if (serves != nullptr && serves->model == question.model && !endpoints.groups.empty())
            consider(serves->version, endpoints);
    }
    return best != nullptr ? std::optional(*best) : std::nullopt;
}

bool is_served(const routing::routing_table& table, const routing::model_target& target)
{
    const routing::rcu_read_section section;
    return std::ranges::any_of(table.read(section).endpoints, [&](const auto& entry) {
        const auto* serves = std::get_if<routing::model_target>(&entry.second.info->serves);
        return serves != nullptr && *serves == target;
    });
}

} // namespace siskinwharf::entry
