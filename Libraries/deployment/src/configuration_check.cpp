#include "siskinwharf/deployment/configuration_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace siskinwharf::deployment {

namespace {

using findings = std::vector<configuration_finding>;

std::string entry_name(std::string_view kind, const std::string& name)
{
    return std::string(kind) + " \"" + name + "\"";
}

std::string entry_name(const route& route)
{
    return entry_name("route", route.name.empty() ? route.host + route.path_prefix : route.name);
}

void check_route_limits(const route& route, findings& result)
{
    const auto add = [&](std::string detail) {
        result.push_back({configuration_fault::contradicts_limits, entry_name(route), std::move(detail)});
    };
    if (route.maximum_attempts == 0)
        add("no attempt is allowed");
    if (route.timeout.count() > 0 && route.latency_target > route.timeout)
        add("the latency target is above the timeout");
}

void check_routes(const snapshot_content& content, findings& result)
{
    std::map<std::pair<std::string, std::string>, std::string> known;
    const bool has_keys = std::ranges::any_of(content.accounts, [](const account& account) {
        return std::ranges::any_of(account.keys, [](const std::string& key) { return !key.empty(); });
    });
    for (const auto& route : content.routes) {
        const auto [first, is_new] = known.try_emplace({route.host, route.path_prefix}, entry_name(route));
        if (!is_new)
            result.push_back({configuration_fault::never_matches, entry_name(route),
                              "host and path prefix are those of " + first->second});
        if (content.access == caller_access::holders_of_keys && !route.is_public && !has_keys)
            result.push_back(
                {configuration_fault::never_matches, entry_name(route), "no account holds a key for it"});
        for (const auto& share : route.shares) {
            if (share.weight == 0)
                result.push_back({configuration_fault::never_matches, entry_name(route),
                                  entry_name("service", share.service.value()) + " has the weight 0"});
            if (std::ranges::find(content.services, share.service, &service::id) == content.services.end())
                result.push_back({configuration_fault::unknown_service, entry_name(route),
                                  entry_name("service", share.service.value()) + " is not listed"});
        }
        check_route_limits(route, result);
    }
}

void check_service_limits(const service& service, findings& result)
{
    const auto add = [&](std::string detail) {
        result.push_back({configuration_fault::contradicts_limits, entry_name("service", service.id.value()),
                          std::move(detail)});
    };
    if (service.scaling && service.scaling->minimum > service.scaling->maximum)
        add("the minimum number of endpoints is above the maximum");
    if (service.engine && service.maximum_connections > 0 &&
        service.engine->slots > service.maximum_connections)
        add("an endpoint has more slots than connections");
}

void check_services(const snapshot_content& content, findings& result)
{
    std::set<service_id> used;
    for (const auto& route : content.routes) {
        for (const auto& share : route.shares)
            used.insert(share.service);
    }
    std::set<service_id> known;
    for (const auto& service : content.services) {
        const auto entry = entry_name("service", service.id.value());
        if (!known.insert(service.id).second)
            result.push_back({configuration_fault::duplicate_name, entry, "the name is used twice"});
        if (!used.contains(service.id))
            result.push_back({configuration_fault::never_matches, entry, "no route leads to it"});
        check_service_limits(service, result);
    }
}

void check_account_limits(const account& account, findings& result)
{
    const auto add = [&](std::string detail) {
        result.push_back({configuration_fault::contradicts_limits, entry_name("account", account.id.value()),
                          std::move(detail)});
    };
    if (account.quota_per_second <= 0 && account.quota_burst > 0)
        add("a burst without a rate has no effect");
}

void check_accounts(const snapshot_content& content, findings& result)
{
    std::set<account_id> known;
    std::map<std::string, account_id> holders;
    for (const auto& account : content.accounts) {
        const auto entry = entry_name("account", account.id.value());
        if (!known.insert(account.id).second)
            result.push_back({configuration_fault::duplicate_name, entry, "the name is used twice"});
        bool has_key = false;
        for (const auto& key : account.keys) {
            if (key.empty()) {
                result.push_back({configuration_fault::never_matches, entry, "an empty text is no key"});
                continue;
            }
            has_key = true;
            if (const auto [holder, is_new] = holders.try_emplace(key, account.id);
                !is_new && holder->second != account.id)
                result.push_back(
                    {configuration_fault::duplicate_key, entry,
                     "a key is held by " + entry_name("account", holder->second.value()) + " too"});
        }
        if (!has_key)
            result.push_back({configuration_fault::never_matches, entry, "it holds no key"});
        check_account_limits(account, result);
    }
}

} // namespace

std::string_view to_string(configuration_fault fault)
{
    switch (fault) {
    case configuration_fault::duplicate_name:
        return "duplicate_name";
    case configuration_fault::duplicate_key:
        return "duplicate_key";
    case configuration_fault::unknown_service:
        return "unknown_service";
    case configuration_fault::never_matches:
        return "never_matches";
    case configuration_fault::contradicts_limits:
        return "contradicts_limits";
    case configuration_fault::older_version:
        return "older_version";
    }
    return "unknown";
}

std::vector<configuration_finding> check_configuration(const snapshot_content& content)
{
    findings result;
    check_routes(content, result);
    check_services(content, result);
    check_accounts(content, result);
    return result;
}

std::vector<configuration_finding> check_succession(const snapshot_content& next,
                                                    const snapshot_content& in_force)
{
    if (next.version > in_force.version)
        return {};
    return {{configuration_fault::older_version, "version " + std::to_string(next.version),
             "version " + std::to_string(in_force.version) + " is in force"}};
}

} // namespace siskinwharf::deployment
