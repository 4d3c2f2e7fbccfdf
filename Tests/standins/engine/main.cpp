#include "engine.h"
#include "run_standin.h"

namespace {

using siskinwharf::standins::command_line;
using siskinwharf::standins::command_line_error;
using siskinwharf::standins::engine_options;

void add_options(command_line& line, engine_options& options)
{
    line.add("port", "port on 127.0.0.1, 0 for a free one", options.port);
    line.add("model", "model loaded at start, empty for none", options.model);
    line.add("version", "version of that model", options.version);
    line.add("failure-domain", "shown in the statistics", options.failure_domain);
    line.add("endpoint-id", "shown in load reports and statistics", options.endpoint_id);
    line.add("capacity", "streams in the batch", options.capacity);
    line.add("queue-limit", "admitted streams that wait for a place in the batch", options.queue_limit);
    line.add("prefill-tokens-per-second", "prefill speed", options.prefill_tokens_per_second);
    line.add("prefill-chunk-tokens", "most prefill tokens of one step", options.prefill_chunk_tokens);
    line.add("decode-ms-per-token", "step time with one stream", options.decode_ms_per_token);
    line.add("batch-slowdown", "growth of the step time for each further stream", options.batch_slowdown);
    line.add("cache-blocks", "prefix cache limit in blocks of 16 tokens", options.cache_blocks);
    line.add("seed", "selects the lost cache events", options.seed);
    line.add("fencing", "checked or ignored", options.fencing);
    line.add("linger-ms", "how long a stream outlives its connection", options.linger_ms);
    line.add("load-lag-ms", "age of load reports", options.load_lag_ms);
    line.add("cache-event-lag-ms", "age of cache events", options.cache_event_lag_ms);
    line.add("cache-event-gap-percent", "share of lost cache events", options.cache_event_gap_percent);
    line.add("load-model-ms", "time to load a model", options.load_model_ms);
    line.add("load-adapter-ms", "time to load an adapter", options.load_adapter_ms);
    line.add("kv-bytes-per-token", "size of an exported KV cache", options.kv_bytes_per_token);
    line.add("kv-megabytes-per-second", "speed of an export", options.kv_megabytes_per_second);
}

void check_options(const engine_options& options)
{
    if (options.fencing != "checked" && options.fencing != "ignored")
        throw command_line_error("--fencing: not checked or ignored: " + options.fencing);
    if (options.capacity < 1 || options.prefill_chunk_tokens < 1 || options.queue_limit < 0)
        throw command_line_error("--capacity and --prefill-chunk-tokens are at least 1, --queue-limit 0");
}

} // namespace

int main(int argument_count, const char** arguments)
{
    namespace standins = siskinwharf::standins;
    return standins::run_standin("engine_standin", [&](boost::asio::io_context& context) {
        engine_options options;
        command_line line;
        add_options(line, options);
        line.parse(argument_count, arguments);
        check_options(options);
        const auto port = standins::checked_port(options.port);
        standins::engine engine(context, options, standins::end_process(context));
        return standins::run_server(context, engine.server(), port);
    });
}
