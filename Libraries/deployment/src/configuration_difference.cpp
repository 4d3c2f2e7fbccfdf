#include "siskinwharf/deployment/configuration_difference.h"

#include <map>
#include <utility>

namespace siskinwharf::deployment {

namespace {

using field_names = std::vector<std::string>;

template<typename Value>
void compare(std::string_view name, const Value& before, const Value& after, field_names& result)
{
    if (before != after)
        result.emplace_back(name);
}

field_names changed_fields(const route& before, const route& after)
{
    field_names result;
    compare("name", before.name, after.name, result);
    compare("kind", before.kind, after.kind, result);
    compare("timeout", before.timeout, after.timeout, result);
    compare("latency target", before.latency_target, after.latency_target, result);
    compare("priority", before.rank, after.rank, result);
    compare("attempts", before.maximum_attempts, after.maximum_attempts, result);
    compare("services", before.shares, after.shares, result);
    compare("public", before.is_public, after.is_public, result);
    compare("resumable", before.is_resumable, after.is_resumable, result);
    compare("prompt", before.has_prompt, after.has_prompt, result);
    return result;
}

field_names changed_fields(const service& before, const service& after)
{
    field_names result;
    compare("connections", before.maximum_connections, after.maximum_connections, result);
    compare("engine", before.engine, after.engine, result);
    compare("scaling", before.scaling, after.scaling, result);
    return result;
}

field_names changed_fields(const account& before, const account& after)
{
    field_names result;
    compare("keys", before.keys, after.keys, result);
    compare("priority", before.rank, after.rank, result);
    compare("unit of the quota", before.counts_tokens, after.counts_tokens, result);
    compare("rate", before.quota_per_second, after.quota_per_second, result);
    compare("burst", before.quota_burst, after.quota_burst, result);
    compare("default tokens", before.default_tokens, after.default_tokens, result);
    return result;
}

std::string name_of(const route& value)
{
    return value.host + value.path_prefix;
}

template<typename Entry>
std::string name_of(const Entry& value)
{
    return value.id.value();
}

/// Appends the entries that were removed, changed and added, in the order of their names.
template<typename Entry>
void compare_entries(std::string_view kind, const std::vector<Entry>& before, const std::vector<Entry>& after,
                     std::vector<configuration_change>& result)
{
    std::map<std::string, std::pair<const Entry*, const Entry*>> pairs;
    for (const auto& entry : before)
        pairs[name_of(entry)].first = &entry;
    for (const auto& entry : after)
        pairs[name_of(entry)].second = &entry;
    for (const auto& [name, pair] : pairs) {
        const auto& [old_entry, new_entry] = pair;
        const auto text = std::string(kind) + " \"" + name + "\"";
        if (old_entry == nullptr) {
            result.push_back({change_kind::added, text, {}});
        } else if (new_entry == nullptr) {
            result.push_back({change_kind::removed, text, {}});
        } else if (auto fields = changed_fields(*old_entry, *new_entry); !fields.empty()) {
            result.push_back({change_kind::changed, text, std::move(fields)});
        }
    }
}

} // namespace

std::string_view to_string(change_kind kind)
{
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "unknown";
}

std::vector<configuration_change> find_changes(const snapshot_content& before, const snapshot_content& after)
{
    std::vector<configuration_change> result;
    compare_entries("route", before.routes, after.routes, result);
    compare_entries("service", before.services, after.services, result);
    compare_entries("account", before.accounts, after.accounts, result);
    field_names fields;
    compare("header bytes", before.limits.header_bytes, after.limits.header_bytes, fields);
    compare("body bytes", before.limits.body_bytes, after.limits.body_bytes, fields);
    compare("header timeout", before.limits.header_timeout, after.limits.header_timeout, fields);
    compare("idle timeout", before.limits.idle_timeout, after.limits.idle_timeout, fields);
    if (!fields.empty())
        result.push_back({change_kind::changed, "limits of callers", std::move(fields)});
    if (before.access != after.access)
        result.push_back({change_kind::changed, "access", {"who needs a key"}});
    return result;
}

} // namespace siskinwharf::deployment
