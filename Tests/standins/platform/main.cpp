#include "platform_service.h"
#include "run_standin.h"

namespace {

using siskinwharf::standins::command_line;
using siskinwharf::standins::platform_options;

void add_options(command_line& line, platform_options& options)
{
    line.add("port", "port on 127.0.0.1, 0 for a free one", options.port);
    line.add("writes-per-second", "limit of commits and stored objects, 0 for none",
             options.writes_per_second);
    line.add("reads-per-second", "limit of row and object reads, 0 for none", options.reads_per_second);
    line.add("table-ms", "time of a table or object operation", options.table_ms);
    line.add("list-lag-ms", "age of the instance list", options.list_lag_ms);
    line.add("entity-tags", "1 for an ETag on the instance list, 0 for none", options.entity_tags);
    line.add("start-ms", "time until a cloud instance runs", options.start_ms);
    line.add("weights-per-minute", "limit of the weight store, 0 for none", options.weights_per_minute);
    line.add("failure-domains", "comma-separated, for the default offers", options.failure_domains);
}

} // namespace

int main(int argument_count, const char** arguments)
{
    namespace standins = siskinwharf::standins;
    return standins::run_standin("platform_standin", [&](boost::asio::io_context& context) {
        platform_options options;
        command_line line;
        add_options(line, options);
        line.parse(argument_count, arguments);
        const auto port = standins::checked_port(options.port);
        standins::platform_service platform(context, options);
        return standins::run_server(context, platform.server(), port);
    });
}
