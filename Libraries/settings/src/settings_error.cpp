#include "siskinwharf/settings/settings_error.h"

#include <utility>

#include <fmt/format.h>

namespace siskinwharf::settings {

namespace {

std::string describe(const std::vector<settings_fault>& faults)
{
    std::string text = fmt::format("the settings have {} faults", faults.size());
    for (const settings_fault& fault : faults) {
        text.push_back('\n');
        text.append(to_string(fault));
    }
    return text;
}

} // namespace

std::string to_string(const settings_fault& fault)
{
    const std::string key = fault.key.empty() ? std::string() : fmt::format(", {}", fault.key);
    const std::string place =
        fault.line == 0 ? std::string("whole text") : fmt::format("line {}", fault.line);
    return fmt::format("{}{}: found \"{}\", allowed {}", place, key, fault.found, fault.allowed);
}

settings_error::settings_error(std::vector<settings_fault> faults)
    : std::runtime_error(describe(faults)), m_faults(std::move(faults))
{
}

} // namespace siskinwharf::settings
