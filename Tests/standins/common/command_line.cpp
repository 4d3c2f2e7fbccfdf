#include "command_line.h"

#include <cstdlib>
#include <memory>

namespace siskinwharf::standins {

void command_line::add(const char* name, const char* description, std::string& target)
{
    m_strings.push_back({&target, nullptr});
    m_options.push_back(
        {name, '\0', POPT_ARG_STRING, static_cast<void*>(&m_strings.back().value), 0, description, "TEXT"});
}

void command_line::add(const char* name, const char* description, std::int64_t& target)
{
    static_assert(sizeof(long) == sizeof(std::int64_t));
    m_options.push_back({name, '\0', POPT_ARG_LONG, &target, 0, description, "NUMBER"});
}

void command_line::add(const char* name, const char* description, double& target)
{
    m_options.push_back({name, '\0', POPT_ARG_DOUBLE, &target, 0, description, "NUMBER"});
}

void command_line::parse(int count, const char** arguments)
{
    std::vector<poptOption> options = m_options;
    options.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
    options.push_back(POPT_TABLEEND);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, count, arguments, options.data(), 0), poptFreeContext);
    if (const int result = poptGetNextOpt(context.get()); result < -1) {
        throw command_line_error(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                                 poptStrerror(result));
    }
    if (const char* extra = poptGetArg(context.get()); extra != nullptr)
        throw command_line_error(std::string(extra) + ": unexpected argument");
    for (auto& [target, value] : m_strings) {
        if (value == nullptr)
            continue;
        *target = value;
        std::free(value);
        value = nullptr;
    }
}

} // namespace siskinwharf::standins
