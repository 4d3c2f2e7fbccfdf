#include <array>
#include <csignal>
#include <string_view>

#include <fmt/core.h>

#include "command.h"
#include "siskinwharf/sheet/sheet_error.h"

namespace {

using command_function = int (*)(int, const char**);

struct command_entry {
    std::string_view name;
    std::string_view summary;
    command_function run;
};

constexpr std::array commands{
    command_entry{"check", "check a sheet and report every fault", siskinwharf::cli::check_command},
    command_entry{"check-configuration", "check a configuration of the users' platform before it is sent",
                  siskinwharf::cli::check_configuration_command},
    command_entry{"submit", "submit a sheet", siskinwharf::cli::submit_command},
    command_entry{"show", "print the sheet that was accepted last", siskinwharf::cli::show_command},
    command_entry{"status", "print what entry processes have in force", siskinwharf::cli::status_command},
    command_entry{"load", "send load to entry processes and report how it was answered",
                  siskinwharf::cli::load_command},
};

void print_usage(std::FILE* target)
{
    fmt::print(target, "Usage: siskinwharf COMMAND [OPTION...]\n\nCommands:\n");
    for (const auto& entry : commands)
        fmt::print(target, "  {:19} {}\n", entry.name, entry.summary);
    fmt::print(target, "\n'siskinwharf COMMAND --help' lists the options of a command.\n");
}

int run_command(int count, const char** arguments)
{
    if (count < 2) {
        print_usage(stderr);
        return siskinwharf::cli::exit_usage;
    }
    const std::string_view name = arguments[1];
    if (name == "--help" || name == "help") {
        print_usage(stdout);
        return siskinwharf::cli::exit_success;
    }
    for (const auto& entry : commands) {
        if (entry.name == name)
            return entry.run(count - 1, arguments + 1);
    }
    print_usage(stderr);
    return siskinwharf::cli::exit_usage;
}

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace siskinwharf;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run_command(argument_count, const_cast<const char**>(arguments));
    } catch (const cli::usage_error& error) {
        fmt::print(stderr, "siskinwharf: {}\n", error.what());
        return cli::exit_usage;
    } catch (const sheet::sheet_error& error) {
        for (const auto& fault : error.faults())
            fmt::print(stderr, "{}\n", sheet::to_string(fault));
        return cli::exit_rejected;
    } catch (const std::exception& error) {
        fmt::print(stderr, "siskinwharf: {}\n", error.what());
        return cli::exit_failure;
    }
}
