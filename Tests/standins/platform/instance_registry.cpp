#include "instance_registry.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "json.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::standins {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> kinds{"entry", "engine", "service"};

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

const instance_registry::version* instance_registry::find_version(const std::deque<version>& versions,
                                                                  monotonic_time time)
{
    const auto next = std::find_if(versions.rbegin(), versions.rend(),
                                   [time](const version& entry) { return entry.since <= time; });
    if (next == versions.rend() || next->members.empty() || next->leaves <= time)
        return nullptr;
    return &*next;
}

const instance_registry::version* instance_registry::find_present(const std::string& id,
                                                                  monotonic_time now) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : find_version(found->second, now);
}

void instance_registry::put(const std::string& id, const json::object& members, monotonic_time now)
{
    const std::string kind = string_member(members, "kind");
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end())
        throw bad_request("kind is not entry, engine or service: " + kind);
    if (const std::int64_t port = integer_member(members, "port"); port < 1 || port > 65'535)
        throw bad_request("port is missing or not between 1 and 65535");
    json::object completed = members;
    completed["id"] = id;
    completed["state"] = "live";
    completed["leaves_in_ms"] = nullptr;
    if (!completed.contains("address"))
        completed["address"] = "127.0.0.1";
    if (!completed.contains("started_ms"))
        completed["started_ms"] = unix_milliseconds();
    m_instances[id].push_back({now, std::move(completed)});
}

bool instance_registry::remove(const std::string& id, monotonic_time now)
{
    if (find_present(id, now) == nullptr)
        return false;
    m_instances[id].push_back({now, {}});
    return true;
}

bool instance_registry::leave(const std::string& id, milliseconds delay, monotonic_time now)
{
    const version* present = find_present(id, now);
    if (present == nullptr)
        return false;
    json::object members = present->members;
    members["state"] = "leaving";
    m_instances[id].push_back({now, std::move(members), now + delay});
    return true;
}

std::vector<std::string> instance_registry::reclaimable_in(const std::string& failure_domain,
                                                           monotonic_time now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, versions] : m_instances) {
        const version* present = find_version(versions, now);
        if (present != nullptr && boolean_member(present->members, "reclaimable") &&
            string_member(present->members, "failure_domain") == failure_domain)
            ids.push_back(id);
    }
    return ids;
}

std::string instance_registry::failure_domain_of(const std::string& id, monotonic_time now) const
{
    const version* present = find_present(id, now);
    return present == nullptr ? std::string{} : string_member(present->members, "failure_domain");
}

json::object instance_registry::list(monotonic_time shown, monotonic_time now) const
{
    json::array instances;
    for (const auto& [id, versions] : m_instances) {
        const version* entry = find_version(versions, shown);
        if (entry == nullptr)
            continue;
        json::object members = entry->members;
        if (entry->leaves != monotonic_time::max()) {
            const auto left = std::chrono::duration_cast<milliseconds>(entry->leaves - now);
            members["leaves_in_ms"] = std::max<std::int64_t>(left.count(), 0);
        }
        instances.push_back(std::move(members));
    }
    return {{"instances", std::move(instances)}};
}

std::string instance_registry::tag(monotonic_time shown) const
{
    std::uint64_t digest = 0;
    for (const auto& [id, versions] : m_instances) {
        const version* entry = find_version(versions, shown);
        if (entry == nullptr)
            continue;
        const auto since = static_cast<std::uint64_t>(entry->since.time_since_epoch().count());
        digest += combine64(hash64(id), since);
    }
    return fmt::format("W/\"{:016x}\"", digest);
}

void instance_registry::prune(monotonic_time shown)
{
    for (auto& [id, versions] : m_instances) {
        while (versions.size() > 1 && versions[1].since <= shown)
            versions.pop_front();
    }
    std::erase_if(m_instances, [shown](const auto& entry) {
        return entry.second.size() == 1 && entry.second.front().since <= shown &&
               find_version(entry.second, shown) == nullptr;
    });
}

} // namespace siskinwharf::standins
