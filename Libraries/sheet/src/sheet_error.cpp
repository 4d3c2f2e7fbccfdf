#include "siskinwharf/sheet/sheet_error.h"

#include <utility>

#include <fmt/format.h>

namespace siskinwharf::sheet {

namespace {

std::string describe(const std::vector<sheet_fault>& faults)
{
    std::string text = fmt::format("the sheet has {} faults", faults.size());
    for (const sheet_fault& fault : faults) {
        text.push_back('\n');
        text.append(to_string(fault));
    }
    return text;
}

} // namespace

std::string to_string(const sheet_fault& fault)
{
    const std::string field = fault.field.empty() ? std::string() : fmt::format(", field {}", fault.field);
    const std::string place =
        fault.line == 0 ? std::string("whole text") : fmt::format("line {}", fault.line);
    return fmt::format("{}{}: found \"{}\", allowed {}", place, field, fault.found, fault.allowed);
}

sheet_error::sheet_error(std::vector<sheet_fault> faults)
    : std::runtime_error(describe(faults)), m_faults(std::move(faults))
{
}

} // namespace siskinwharf::sheet
