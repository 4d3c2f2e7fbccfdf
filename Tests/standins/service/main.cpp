#include <cstdio>
#include <cstdlib>
#include <exception>

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include "command_line.h"
#include "plain_service.h"

namespace {

using siskinwharf::standins::command_line;
using siskinwharf::standins::service_options;

void add_options(command_line& line, service_options& options)
{
    line.add("port", "port on 127.0.0.1, 0 for a free one", options.port);
    line.add("service", "name of the service", options.service);
    line.add("endpoint-id", "shown in answers", options.endpoint_id);
    line.add("failure-domain", "shown in the statistics", options.failure_domain);
    line.add("work-ms", "time of one call", options.work_ms);
}

/// The counts of a stand-in are lost when it crashes, so a test adds up these lines instead.
void print_execution(const std::string& key, const std::string& path)
{
    fmt::print("executed {} {}\n", path, key);
    std::fflush(stdout);
}

} // namespace

int main(int argument_count, const char** arguments)
{
    namespace standins = siskinwharf::standins;
    try {
        service_options options;
        command_line line;
        add_options(line, options);
        line.parse(argument_count, arguments);
        if (options.port < 0 || options.port > 65'535)
            throw standins::command_line_error(fmt::format("--port: not a port: {}", options.port));
        // Crashes are part of the tests; their core files would only fill the disk.
        const rlimit no_core{0, 0};
        setrlimit(RLIMIT_CORE, &no_core);
        boost::asio::io_context context{1};
        standins::process_actions actions;
        actions.crash = [] {
            std::abort();
        };
        actions.exit = [&context] {
            context.stop();
        };
        standins::plain_service service(context, options, actions, print_execution);
        return standins::run_server(context, service.server(), static_cast<std::uint16_t>(options.port));
    } catch (const std::exception& error) {
        fmt::print(stderr, "service_standin: {}\n", error.what());
        return 2;
    }
}
