#include <cstdio>

#include <fmt/format.h>

#include "plain_service.h"
#include "run_standin.h"

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
    return standins::run_standin("service_standin", [&](boost::asio::io_context& context) {
        service_options options;
        command_line line;
        add_options(line, options);
        line.parse(argument_count, arguments);
        const auto port = standins::checked_port(options.port);
        standins::plain_service service(context, options, standins::end_process(context), print_execution);
        return standins::run_server(context, service.server(), port);
    });
}
