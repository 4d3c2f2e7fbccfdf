#include "engine_relay.h"

#include <type_traits>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "attempt_ends.h"
#include "engine_calls.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/serving/engine_protocol.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Longest silence of a stream that is relayed.
constexpr milliseconds relay_timeout{10'000};
constexpr milliseconds move_timeout{2'000};
/// The process that died may have been the one that would have told of the reclaim; the others find out up to
/// 2 s later, which can be all of the notice. So the engine itself is asked.
constexpr milliseconds question_period{500};
/// The rest of the answer is not known here; the slot is only for the load of the target.
constexpr std::uint32_t assumed_output_tokens = 64;
/// In a mass reclaim the engines that are tried first may be leaving as well.
constexpr std::size_t most_targets = 8;

} // namespace

engine_relay::engine_relay(entry_core& core, http::client& client, orphaned_stream stream,
                           std::uint64_t offset, http::response_writer& writer)
    : m_core(core), m_client(client), m_stream(std::move(stream)), m_offset(offset), m_writer(writer)
{
}

asio::awaitable<void> engine_relay::run(std::unique_ptr<http::line_stream> stream)
{
    try {
        co_await follow(*stream);
        while (!has_ended() && !m_exported_kv.empty()) {
            stream = co_await import();
            if (stream == nullptr)
                break;
            co_await follow(*stream);
        }
    } catch (const http::call_error& error) {
        throw http::caller_disconnected(error.what());
    }
    if (!has_ended())
        throw http::caller_disconnected("the stream of the engine ended early");
    co_await m_writer.write(serving::render_end_events(m_stream.identity));
    co_await m_writer.finish();
}

asio::awaitable<void> engine_relay::follow(http::line_stream& stream)
{
    while (!has_ended()) {
        const auto lines = co_await stream.next_lines(relay_timeout);
        if (lines.empty())
            co_return;
        std::vector<std::string> tokens;
        serving::visit_engine_lines(lines, [&]<typename Event>(Event event) {
            if constexpr (std::is_same_v<Event, serving::end_event>)
                m_end = event.offset;
            else if (event.offset == m_offset + tokens.size())
                tokens.push_back(std::move(event.token));
        });
        auto events = serving::render_events(m_stream.identity, tokens, m_offset);
        m_offset += tokens.size();
        co_await m_writer.write(std::move(events));
        co_await export_if_leaving();
    }
}

asio::awaitable<bool> engine_relay::is_leaving()
{
    const auto info = m_core.table.find_info(m_stream.endpoint->id);
    if (!info || info->state == routing::endpoint_state::leaving)
        co_return true;
    if (now() - m_asked_at < question_period)
        co_return false;
    m_asked_at = now();
    auto message = make_request("GET", "/load", "", "");
    try {
        const auto answer = co_await m_client.call(address_of(*m_stream.endpoint), std::move(message),
                                                   move_timeout, true, maximum_load_bytes);
        boost::system::error_code error;
        const auto load = boost::json::parse(answer.body, error);
        const auto* value = !error && load.is_object() ? load.get_object().if_contains("leaving") : nullptr;
        const bool leaving = value != nullptr && value->is_bool() && value->get_bool();
        if (leaving)
            m_core.report_endpoint(m_stream.endpoint->id, endpoint_report::leaving);
        co_return leaving;
    } catch (const http::call_error&) {
        co_return false;
    }
}

asio::awaitable<void> engine_relay::export_if_leaving()
{
    if (has_ended() || !m_exported_kv.empty() || !co_await is_leaving())
        co_return;
    auto message = make_export(m_stream.stream_id);
    try {
        const auto answer =
            co_await m_client.call(address_of(*m_stream.endpoint), std::move(message), move_timeout, false);
        if (answer.status == 200)
            m_exported_kv = exported_cache_of(answer.body);
    } catch (const http::call_error&) {
        // The stream goes on until its engine leaves, and the next lines bring another try.
        co_return;
    }
}

asio::awaitable<std::unique_ptr<http::line_stream>> engine_relay::import()
{
    routing::routing_request wanted;
    wanted.account = m_stream.account;
    wanted.serves = m_stream.endpoint->serves;
    wanted.region = m_core.settings.region;
    wanted.domain = m_core.settings.failure_domain;
    wanted.output_tokens = assumed_output_tokens;
    wanted.excluded = {m_stream.endpoint->id};
    const auto kv = std::exchange(m_exported_kv, {});
    while (wanted.excluded.size() <= most_targets) {
        auto decision = m_core.router.choose(wanted, now());
        auto* chosen = std::get_if<routing::chosen_endpoint>(&decision);
        if (chosen == nullptr)
            co_return nullptr;
        if (auto stream = co_await import_at(*chosen->endpoint, kv)) {
            m_stream.endpoint = chosen->endpoint;
            m_target = std::move(*chosen);
            co_return stream;
        }
        wanted.excluded.push_back(chosen->endpoint->id);
    }
    co_return nullptr;
}

asio::awaitable<std::unique_ptr<http::line_stream>>
engine_relay::import_at(const routing::endpoint_info& endpoint, const std::string& kv)
{
    auto message = make_import(m_stream.stream_id, ++m_attempt, kv, m_offset);
    try {
        auto stream = co_await m_client.open(address_of(endpoint), std::move(message), move_timeout);
        if (stream->status() != 200) {
            const auto refusal = co_await stream->next_lines(move_timeout);
            if (end_of_refusal(stream->status(), refusal) == serving::attempt_end::refused_leaving)
                m_core.report_endpoint(endpoint.id, endpoint_report::leaving);
            co_return nullptr;
        }
        log_event(event::request_moved, {{"request", m_stream.identity.id},
                                         {"endpoint", m_stream.endpoint->id.value()},
                                         {"end", std::string(to_text(serving::attempt_end::move_requested))},
                                         {"offset", std::to_string(m_offset)}});
        co_return stream;
    } catch (const http::call_error&) {
        co_return nullptr;
    }
}

} // namespace siskinwharf::entry
