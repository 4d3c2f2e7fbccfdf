#include "options.h"

#include <cstdlib>
#include <iterator>
#include <memory>

#include "command.h"

namespace siskinwharf::cli {

options::options(std::string command, std::string usage)
    : m_command("siskinwharf " + std::move(command)), m_usage("[OPTION...] " + std::move(usage))
{
}

void options::add(const char* name, const char* description, std::string& target)
{
    m_strings.push_back({&target, nullptr});
    m_options.push_back({name, 0, POPT_ARG_STRING, &m_strings.back().value, 0, description, "TEXT"});
}

void options::add(const char* name, const char* description, std::int64_t& target)
{
    static_assert(sizeof(std::int64_t) == sizeof(long));
    m_options.push_back(
        {name, 0, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &target, 0, description, "NUMBER"});
}

void options::add(const char* name, const char* description, double& target)
{
    m_options.push_back(
        {name, 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &target, 0, description, "NUMBER"});
}

void options::add_flag(const char* name, const char* description, int& target)
{
    m_options.push_back({name, 0, POPT_ARG_NONE, &target, 0, description, nullptr});
}

std::vector<std::string> options::parse(int count, const char** arguments)
{
    const poptOption tail[] = {POPT_AUTOHELP POPT_TABLEEND};
    m_options.insert(m_options.end(), std::begin(tail), std::end(tail));
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(m_command.c_str(), count, arguments, m_options.data(), 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), m_usage.c_str());
    if (const int result = poptGetNextOpt(context.get()); result < -1)
        throw usage_error(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result));
    for (auto& [target, value] : m_strings) {
        if (value == nullptr)
            continue;
        *target = value;
        std::free(value);
        value = nullptr;
    }
    std::vector<std::string> rest;
    while (const char* argument = poptGetArg(context.get()))
        rest.emplace_back(argument);
    return rest;
}

} // namespace siskinwharf::cli
