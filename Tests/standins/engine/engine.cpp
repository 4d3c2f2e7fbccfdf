#include "engine.h"

#include <algorithm>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "answer_check.h"
#include "json.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::standins {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view poison_word = "POISON";
constexpr std::int64_t max_stream_tokens = 1'000'000;
constexpr milliseconds longest_expiry_check{1000};
/// A step that ends late by up to this much, because of timers, shortens the next one. A longer pause does
/// not: an engine does not make up for the time in which it was frozen.
constexpr milliseconds caught_up_slack{2};

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

void set_context(engine_stream& stream)
{
    stream.context = split_tokens(stream.prompt);
    stream.context.insert(stream.context.end(), stream.answer.begin(), stream.answer.end());
}

void read_stream(const json::object& body, engine_stream& stream)
{
    stream.model = string_member(body, "model");
    stream.version = string_member(body, "version");
    stream.prompt = string_member(body, "prompt");
    stream.answer = strings_member(body, "produced");
    stream.first_offset = stream.answer.size();
    const std::int64_t max_tokens = integer_member(body, "max_tokens", 16);
    if (max_tokens < 0 || max_tokens > max_stream_tokens)
        throw bad_request(
            fmt::format("max_tokens {} is not between 0 and {}", max_tokens, max_stream_tokens));
    stream.max_tokens = static_cast<std::uint64_t>(max_tokens);
    stream.priority = integer_member(body, "priority");
    set_context(stream);
}

void read_identity(const json::object& body, engine_stream& stream)
{
    stream.id = string_member(body, "stream_id");
    if (stream.id.empty())
        throw bad_request("stream_id is missing");
    stream.attempt = integer_member(body, "attempt", 1);
}

http_response stale_fencing_response(std::uint64_t highest)
{
    return json_response(409, json::object{{"error", "stale_fencing"}, {"highest", highest}});
}

/// A response `{name:true}`.
http_response confirmation(std::string_view name)
{
    return json_response(200, json::object{{name, true}});
}

json::object describe_kv(const engine_stream& stream)
{
    return {{"model", stream.model},           {"version", stream.version},
            {"prompt", stream.prompt},         {"produced", json::value_from(stream.answer)},
            {"max_tokens", stream.max_tokens}, {"priority", stream.priority}};
}

/// The KV cache on the wire: a checksum, so that a truncated copy is refused, and the stream's state.
std::string encode_kv(const engine_stream& stream)
{
    const std::string state = json::serialize(describe_kv(stream));
    return fmt::format("{:016x}{}", hash64(state), state);
}

std::uint64_t kv_tokens(const engine_stream& stream)
{
    return split_tokens(stream.prompt).size() + stream.answer.size();
}

json::object describe_export(const engine_stream& stream, std::uint64_t bytes, nanoseconds duration)
{
    return {{"kv", encode_kv(stream)},
            {"bytes", bytes},
            {"tokens", kv_tokens(stream)},
            {"offset", stream.answer.size()},
            {"export_ms", std::chrono::duration_cast<milliseconds>(duration).count()}};
}

json::object decode_kv(std::string_view kv)
{
    constexpr std::size_t checksum_digits = 16;
    if (kv.size() < checksum_digits ||
        kv.substr(0, checksum_digits) != fmt::format("{:016x}", hash64(kv.substr(checksum_digits))))
        throw bad_request("kv is malformed or truncated");
    return parse_object(kv.substr(checksum_digits));
}

} // namespace

engine::engine(asio::io_context& context, engine_options options, process_actions actions)
    : m_context(context),
      m_options(std::move(options)),
      m_actions(std::move(actions)),
      m_server(context, [this](http_exchange& exchange) { return handle(exchange); }),
      m_scheduler(m_options),
      m_orders(m_options, now()),
      m_cache_events(m_options),
      m_load_reports(m_options),
      m_work(context.get_executor())
{
    asio::co_spawn(context, run_scheduler(), asio::detached);
    asio::co_spawn(context, expire_streams(), asio::detached);
    record_load();
}

asio::awaitable<void> engine::handle(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    if (!request.segments.empty() && request.segments[0] == "streams") {
        co_await handle_stream(exchange);
        co_return;
    }
    http_response response = error_response(404, "not_found");
    if (request.matches("GET", "/load")) {
        response = json_response(200, m_load_reports.report(now()));
    } else if (request.matches("GET", "/cache-events")) {
        response = json_response(200, m_cache_events.read(request.query_number("after", 0), now()));
    } else if (request.matches("GET", "/orders")) {
        response = json_response(200, m_orders.describe(now()));
    } else if (request.matches("POST", "/orders")) {
        const bool applied = m_orders.apply(parse_object(request.body), now());
        drop_unloaded_streams();
        response = applied ? json_response(200, m_orders.describe(now()))
                           : stale_fencing_response(m_orders.highest_fencing());
    } else if (request.matches("GET", "/stats")) {
        response = json_response(200, statistics());
    } else if (request.matches("POST", "/faults")) {
        co_await apply_faults(exchange);
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> engine::handle_stream(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    if (request.matches("POST", "/streams")) {
        co_await create_stream(exchange);
        co_return;
    }
    if (request.matches("POST", "/streams/import")) {
        co_await import_stream(exchange);
        co_return;
    }
    stream_pointer stream;
    if (request.segments.size() > 1) {
        if (const auto found = m_streams.find(request.segments[1]); found != m_streams.end())
            stream = found->second;
    }
    if (!stream) {
        co_await exchange.respond(error_response(404, "unknown_stream"));
    } else if (request.matches("GET", "/streams/*")) {
        co_await resume_stream(exchange, stream);
    } else if (request.matches("DELETE", "/streams/*")) {
        cancel(*stream);
        m_streams.erase(stream->id);
        co_await exchange.respond(confirmation("cancelled"));
    } else if (request.matches("POST", "/streams/*/export")) {
        co_await export_stream(exchange, stream);
    } else {
        co_await exchange.respond(error_response(404, "not_found"));
    }
}

http_response engine::check_admission(const engine_stream& stream, const std::string& adapter)
{
    http_response response;
    if (m_leaving) {
        response = error_response(409, "leaving");
    } else if (!m_orders.serves(stream.model, stream.version, adapter, now())) {
        response = error_response(404, "model_not_loaded");
    } else if (const auto found = m_streams.find(stream.id);
               found != m_streams.end() && found->second->attempt >= stream.attempt) {
        response = error_response(409, "stale_attempt");
    } else if (!m_scheduler.has_room()) {
        response = error_response(429, "full");
    }
    if (response.status != 200)
        ++m_refused[response.body];
    return response;
}

void engine::admit(const stream_pointer& stream)
{
    if (const auto found = m_streams.find(stream->id); found != m_streams.end())
        cancel(*found->second);
    if (stream->version.empty())
        stream->version = m_orders.version_of(stream->model, now());
    stream->arrival = ++m_arrivals;
    stream->unread_since = now();
    m_streams[stream->id] = stream;
    m_scheduler.add(stream);
    ++m_admitted;
    record_load();
    m_work.notify_all();
}

void engine::cancel(engine_stream& stream)
{
    if (stream.active() || stream.phase == stream_phase::suspended) {
        m_scheduler.remove(stream);
        stream.phase = stream_phase::cancelled;
        ++m_cancelled;
    }
    stream.changed.notify_all();
    record_load();
}

void engine::drop_unloaded_streams()
{
    std::erase_if(m_streams, [this](const auto& entry) {
        engine_stream& stream = *entry.second;
        const bool is_running = stream.active() || stream.phase == stream_phase::suspended;
        if (!is_running || m_orders.has(stream.model, stream.version))
            return false;
        // An exported stream goes on elsewhere, so its reader loses nothing.
        if (stream.active())
            ++m_dropped_by_orders;
        cancel(stream);
        return true;
    });
}

asio::awaitable<void> engine::create_stream(http_exchange& exchange)
{
    const json::object body = parse_object(exchange.request().body);
    const auto stream = std::make_shared<engine_stream>(m_context.get_executor());
    read_identity(body, *stream);
    read_stream(body, *stream);
    http_response refusal = check_admission(*stream, string_member(body, "adapter"));
    if (refusal.status != 200) {
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (stream->answer != expected_answer(stream->prompt, stream->first_offset))
        ++m_wrong_produced;
    admit(stream);
    co_await follow(exchange, stream, stream->first_offset);
}

asio::awaitable<void> engine::import_stream(http_exchange& exchange)
{
    const json::object body = parse_object(exchange.request().body);
    const auto stream = std::make_shared<engine_stream>(m_context.get_executor());
    read_identity(body, *stream);
    read_stream(decode_kv(string_member(body, "kv")), *stream);
    stream->has_kv_cache = true;
    http_response refusal = check_admission(*stream, string_member(body, "adapter"));
    if (refusal.status != 200) {
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    m_imported_tokens += stream->context.size();
    admit(stream);
    // The importer may have received fewer tokens than were produced before the export.
    const auto offset = integer_member(body, "offset", static_cast<std::int64_t>(stream->first_offset));
    co_await follow(exchange, stream, static_cast<std::uint64_t>(offset));
}

asio::awaitable<void> engine::resume_stream(http_exchange& exchange, stream_pointer stream)
{
    const std::uint64_t offset = exchange.request().query_number("offset", 0);
    if (stream->phase == stream_phase::suspended) {
        if (!m_scheduler.has_room()) {
            co_await exchange.respond(error_response(429, "full"));
            co_return;
        }
        stream->has_kv_cache = true;
        set_context(*stream);
        m_scheduler.add(stream);
        m_work.notify_all();
        record_load();
    }
    co_await follow(exchange, stream, offset);
}

asio::awaitable<void> engine::export_stream(http_exchange& exchange, stream_pointer stream)
{
    if (stream->phase != stream_phase::decode && stream->phase != stream_phase::suspended) {
        co_await exchange.respond(error_response(409, "not_decoding"));
        co_return;
    }
    // The stream stops first: tokens decoded after the copy would be missing from it.
    m_scheduler.remove(*stream);
    stream->phase = stream_phase::suspended;
    stream->changed.notify_all();
    record_load();
    const monotonic_time start = now();
    const std::uint64_t bytes = kv_tokens(*stream) * static_cast<std::uint64_t>(m_options.kv_bytes_per_token);
    const double seconds_taken =
        static_cast<double>(bytes) / (std::max(m_options.kv_megabytes_per_second, 0.001) * 1e6);
    // Exports share one link, so each starts when those before it have ended.
    m_export_free = std::max(m_export_free, start) +
                    nanoseconds(static_cast<std::int64_t>(seconds_taken * m_slow_factor * 1e9));
    const nanoseconds waited = m_export_free - start;
    const json::object body = describe_export(*stream, bytes, waited);
    co_await sleep_for(waited);
    co_await exchange.respond(json_response(200, body));
}

asio::awaitable<void> engine::follow(http_exchange& exchange, stream_pointer stream, std::uint64_t offset)
{
    const std::uint64_t reader = ++stream->reader;
    stream->connected = true;
    stream->changed.notify_all(); // Ends the older reader.
    exchange.on_closed([stream] { stream->changed.notify_all(); });
    bool open = co_await exchange.start_stream("application/x-ndjson");
    token_lines lines;
    while (open && !exchange.closed()) {
        if (stream->reader != reader) {
            exchange.drop();
            co_return;
        }
        if (offset < stream->answer.size()) {
            std::string text;
            for (; offset < stream->answer.size(); ++offset)
                text += lines.add(offset, stream->answer[offset], m_line_faults);
            if (!text.empty())
                open = co_await exchange.write_chunk(std::move(text));
            continue;
        }
        if (!stream->active()) {
            const std::string_view end = stream->phase == stream_phase::done        ? "done"
                                         : stream->phase == stream_phase::suspended ? "exported"
                                                                                    : "cancelled";
            std::string text = lines.flush();
            text += fmt::format("{{\"{}\":true,\"offset\":{}}}\n", end, stream->answer.size());
            if (co_await exchange.write_chunk(std::move(text)))
                co_await exchange.finish_stream();
            break;
        }
        co_await stream->changed.wait();
    }
    if (stream->reader == reader) {
        stream->connected = false;
        stream->unread_since = now();
    }
}

asio::awaitable<void> engine::apply_faults(http_exchange& exchange)
{
    const json::object body = parse_object(exchange.request().body);
    const std::int64_t freeze_ms = integer_member(body, "freeze_ms");
    m_crash_on = string_member(body, "crash_on", m_crash_on);
    m_slow_factor = std::max(number_member(body, "slow_factor", m_slow_factor), 0.0);
    m_line_faults.duplicate_every = static_cast<std::uint64_t>(
        integer_member(body, "duplicate_every", static_cast<std::int64_t>(m_line_faults.duplicate_every)));
    m_line_faults.reorder_every = static_cast<std::uint64_t>(
        integer_member(body, "reorder_every", static_cast<std::int64_t>(m_line_faults.reorder_every)));
    if (body.contains("leave_in_ms")) {
        m_leaving = true;
        record_load();
        asio::co_spawn(m_context, leave_after(milliseconds(integer_member(body, "leave_in_ms"))),
                       asio::detached);
    }
    if (boolean_member(body, "drop_connections"))
        m_server.drop_connections(&exchange);
    if (boolean_member(body, "crash"))
        m_actions.crash();
    co_await exchange.respond(confirmation("applied"));
    // Blocks the only thread, like a paused virtual machine: nothing is decoded and nothing answered.
    if (freeze_ms > 0)
        std::this_thread::sleep_for(milliseconds(freeze_ms));
}

asio::awaitable<void> engine::leave_after(milliseconds delay)
{
    co_await sleep_for(delay);
    m_actions.exit();
}

asio::awaitable<void> engine::run_scheduler()
{
    monotonic_time step_end{};
    for (;;) {
        while (m_scheduler.idle()) {
            co_await m_work.wait();
            step_end = now();
        }
        const auto duration = static_cast<double>(m_scheduler.begin_step().count()) * m_slow_factor;
        record_load();
        step_end =
            std::max(step_end, now() - caught_up_slack) + nanoseconds(static_cast<std::int64_t>(duration));
        co_await sleep_for(step_end - now());
        m_overrun += std::max(now() - step_end, nanoseconds(0));
        const step_result result = m_scheduler.finish_step();
        m_cache_events.append(result.cache_changes, now());
        m_finished += result.finished.size();
        for (const stream_pointer& stream : result.finished_prefill)
            check_crash(*stream);
        for (const stream_pointer& stream : result.advanced)
            stream->changed.notify_all();
        record_load(result.decoded);
    }
}

void engine::check_crash(const engine_stream& stream)
{
    const std::vector<std::string> words = split_tokens(stream.prompt);
    const bool poisoned = std::find(words.begin(), words.end(), poison_word) != words.end();
    const bool selected = !m_crash_on.empty() && stream.prompt.find(m_crash_on) != std::string::npos;
    if (poisoned || selected)
        m_actions.crash();
}

asio::awaitable<void> engine::expire_streams()
{
    const milliseconds linger(m_options.linger_ms);
    for (;;) {
        co_await sleep_for(std::clamp(linger / 4, milliseconds(1), longest_expiry_check));
        std::erase_if(m_streams, [this, linger](const auto& entry) {
            engine_stream& stream = *entry.second;
            if (stream.connected || now() - stream.unread_since < linger)
                return false;
            cancel(stream);
            return true;
        });
    }
}

void engine::record_load(std::uint64_t decoded)
{
    load_sample sample;
    sample.in_flight = m_scheduler.in_flight();
    sample.queued = m_scheduler.queued();
    sample.cached_blocks = m_scheduler.cached_blocks();
    sample.leaving = m_leaving;
    m_load_reports.record(sample, decoded, now());
}

json::object engine::statistics() const
{
    const token_counters& counters = m_scheduler.counters();
    json::object refused;
    for (const auto& [body, count] : m_refused)
        refused[string_member(parse_object(body), "error")] = count;
    return {{"endpoint_id", m_options.endpoint_id},
            {"failure_domain", m_options.failure_domain},
            {"prefilled_tokens", counters.prefilled},
            {"cached_tokens", counters.cached},
            {"recomputed_tokens", counters.recomputed},
            {"retried_tokens", counters.retried},
            {"imported_tokens", m_imported_tokens},
            {"decoded_tokens", counters.decoded},
            {"overrun_ms", std::chrono::duration_cast<milliseconds>(m_overrun).count()},
            {"cached_blocks", m_scheduler.cached_blocks()},
            {"in_flight", m_scheduler.in_flight()},
            {"queued", m_scheduler.queued()},
            {"known_streams", m_streams.size()},
            {"admitted", m_admitted},
            {"finished", m_finished},
            {"cancelled", m_cancelled},
            {"dropped_by_orders", m_dropped_by_orders},
            {"refused", std::move(refused)},
            {"wrong_produced", m_wrong_produced},
            {"leaving", m_leaving}};
}

} // namespace siskinwharf::standins
