#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include <fmt/core.h>
#include <popt.h>

#include "entry_process.h"
#include "forwarding_process.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/http/error.h"
#include "siskinwharf/settings/settings.h"
#include "siskinwharf/settings/settings_error.h"

namespace {

/// Exit codes; docs/siskinwharfd.md lists them.
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_listen = 4;

/// Names the settings file of a forwarding process that is started without one.
constexpr const char* settings_variable = "SISKINWHARF_SETTINGS";

struct command_line {
    std::string settings_path;
    bool check_only = false;
    bool verbose = false;
    bool forwards = false;
};

/// Reads the command line. Prints the usage and exits on an error.
command_line parse_command_line(int count, const char** arguments)
{
    int check_only = 0;
    int verbose = 0;
    int forwards = 0;
    const poptOption options[] = {
        {"check", 'c', POPT_ARG_NONE, &check_only, 0, "check the settings and exit", nullptr},
        {"forward", 'f', POPT_ARG_NONE, &forwards, 0,
         "forward requests by route; the settings are those of the users' platform", nullptr},
        {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "log each request", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("siskinwharfd", count, arguments, options, 0);
    poptSetOtherOptionHelp(context, "[OPTION...] SETTINGS.toml");
    const int result = poptGetNextOpt(context);
    const char* path = poptGetArg(context);
    if (path == nullptr && forwards != 0)
        path = std::getenv(settings_variable);
    if (result < -1 || path == nullptr || poptPeekArg(context) != nullptr) {
        if (result < -1)
            fmt::print(stderr, "siskinwharfd: {}: {}\n", poptBadOption(context, 0), poptStrerror(result));
        poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        std::exit(exit_usage);
    }
    command_line parsed{path, check_only != 0, verbose != 0, forwards != 0};
    poptFreeContext(context);
    return parsed;
}

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace siskinwharf;
    const auto line = parse_command_line(argument_count, const_cast<const char**>(arguments));
    std::ifstream file(line.settings_path);
    if (!file) {
        fmt::print(stderr, "siskinwharfd: cannot read {}\n", line.settings_path);
        return exit_usage;
    }
    if (line.verbose)
        set_event_level(event_level::debug);
    // A caller that goes away must end its own request only.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (line.forwards) {
            file.close();
            entry::forwarding_process process(line.settings_path);
            if (!line.check_only)
                process.run();
            return EXIT_SUCCESS;
        }
        const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        auto settings = settings::load_settings(text);
        if (line.check_only)
            return EXIT_SUCCESS;
        entry::entry_process process(settings);
        process.run();
        return EXIT_SUCCESS;
    } catch (const settings::settings_error& error) {
        for (const auto& fault : error.faults())
            log_event(event::settings_rejected, {{"fault", settings::to_string(fault)}});
        return exit_settings;
    } catch (const http::listen_error& error) {
        log_event(event::listen_failed, {{"reason", error.what()}});
        return exit_listen;
    }
}
