#include <optional>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <fmt/ranges.h>

#include "command.h"
#include "options.h"
#include "siskinwharf/deployment/configuration_check.h"
#include "siskinwharf/deployment/configuration_difference.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/platform/configuration_text.h"

namespace siskinwharf::cli {

namespace {

/// Reads a configuration from a file. Prints what is wrong with one that cannot be decoded.
std::optional<deployment::snapshot_content> read_configuration(const std::string& path)
{
    try {
        return platform::decode_configuration(read_file(path));
    } catch (const forwarding::invalid_entry& error) {
        fmt::print(stderr, "{}: {}\n", path, error.what());
        return std::nullopt;
    }
}

void print_changes(const deployment::snapshot_content& before, const deployment::snapshot_content& after)
{
    const auto changes = deployment::find_changes(before, after);
    fmt::print("changes from version {} to version {}: {}\n", before.version, after.version, changes.size());
    for (const auto& change : changes)
        fmt::print("{} {}{}{}\n", to_string(change.kind), change.entry, change.fields.empty() ? "" : ": ",
                   fmt::join(change.fields, ", "));
}

} // namespace

int check_configuration_command(int count, const char** arguments)
{
    std::string in_force_path;
    options command("check-configuration", "CONFIGURATION.json");
    command.add("in-force", "file of the configuration in force, to compare with", in_force_path);
    const auto files = command.parse(count, arguments);
    if (files.size() != 1)
        throw usage_error("check-configuration takes one file");
    const auto content = read_configuration(files.front());
    if (!content)
        return exit_rejected;
    auto findings = deployment::check_configuration(*content);
    if (!in_force_path.empty()) {
        const auto in_force = read_configuration(in_force_path);
        if (!in_force)
            return exit_rejected;
        print_changes(*in_force, *content);
        for (auto& finding : deployment::check_succession(*content, *in_force))
            findings.push_back(std::move(finding));
    }
    for (const auto& finding : findings)
        fmt::print(stderr, "{}: {}: {}\n", to_string(finding.fault), finding.entry, finding.detail);
    if (!findings.empty())
        return exit_rejected;
    fmt::print("version {} is sound: {} routes, {} services, {} accounts\n", content->version,
               content->routes.size(), content->services.size(), content->accounts.size());
    return exit_success;
}

} // namespace siskinwharf::cli
