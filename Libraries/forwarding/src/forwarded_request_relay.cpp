// The part of forwarded_request that passes the response of an endpoint on to the caller.

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

#include "forwarded_request.h"
#include "siskinwharf/http/error.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximum_response_size = 16U << 20U;
/// A response up to this size is held until it is whole, so that another endpoint can take over before. A
/// larger one is passed on as it arrives, so that many at once fit into memory.
constexpr std::size_t maximum_held_body = 256U << 10U;
/// What is kept of an answer up to this size is counted with its request.
constexpr std::size_t answer_bytes_of_request = 16U << 10U;
constexpr int first_server_error = 500;

stream_format format_of(const http::part_stream& answer)
{
    stream_format format;
    format.status = answer.status();
    for (const auto& [name, value] : answer.headers()) {
        if (http::equal_ignoring_case(name, "Content-Encoding"))
            format.encoding = value;
        if (!http::equal_ignoring_case(name, "Content-Type"))
            continue;
        format.media_type = value.substr(0, value.find_first_of("; \t"));
        for (auto& letter : format.media_type)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return format;
}

} // namespace

bool forwarded_request::is_success(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

void forwarded_request::copy_length(const http::part_stream& answer, http::response& whole)
{
    for (auto& header : answer.headers()) {
        if (http::equal_ignoring_case(header.name, "Content-Length"))
            whole.headers.push_back(std::move(header));
    }
}

asio::awaitable<attempt_end> forwarded_request::receive(const dispatch::endpoint_record& endpoint,
                                                        http::part_stream& answer,
                                                        dispatch::attempt_ticket& ticket)
{
    const auto status = answer.status();
    const auto facts = m_codec.inspect(status, answer.headers());
    if (facts.id && *facts.id != m_call.id)
        throw http::call_error(http::call_stage::after_header, "the response belongs to another request");
    // The response to an earlier request, sent again, may lack the id too.
    if (!facts.id && answer.may_answer_earlier_request())
        throw http::call_error(http::call_stage::after_header,
                               "the response names no request and its connection was used before");
    observe_statement(endpoint, facts);
    if (facts.is_not_run)
        co_return attempt_end::not_run;
    if (!facts.is_signed)
        throw http::call_error(http::call_stage::after_header,
                               fmt::format("response with status {} is not signed by the endpoint", status));
    if (is_success(status) && m_route->kind == deployment::request_kind::stream)
        co_return co_await relay_event_stream(endpoint, answer, ticket);
    co_return co_await relay_response(answer, ticket);
}

void forwarded_request::observe_statement(const dispatch::endpoint_record& endpoint,
                                          const response_metadata& facts)
{
    if (facts.malformed_statements > 0)
        m_metrics
            .find_counter("siskinwharf_malformed_endpoint_statements_total",
                          "Headers of endpoints about the requests they take that were ignored.", {})
            ->add(facts.malformed_statements);
    // That an unsigned response names no limit does not mean that the endpoint has none.
    if (facts.is_signed || facts.is_not_run || facts.stated.is_leaving || facts.stated.pause)
        m_state.observe_statement(endpoint, facts.stated, std::chrono::steady_clock::now());
}

asio::awaitable<attempt_end> forwarded_request::relay_response(http::part_stream& answer,
                                                               dispatch::attempt_ticket& ticket)
{
    if (m_writer.started())
        throw http::call_error(http::call_stage::after_header,
                               "the endpoint sent a plain response instead of resuming the stream");
    http::response whole{answer.status(), m_codec.forwarded(answer.headers()), ""};
    if (m_call.message.method == "HEAD")
        copy_length(answer, whole);
    const auto end = co_await read_body(answer, whole);
    m_state.balancer().first_event(ticket, std::chrono::steady_clock::now());
    count_run();
    if (is_success(whole.status))
        count_answer();
    if (end == body_end::passed_on)
        co_return attempt_end::delivered;
    const bool can_repeat =
        whole.status >= first_server_error && is_repeatable() && m_sent_attempts < m_route->maximum_attempts;
    if (can_repeat && time_left().value_or(default_request_timeout) > minimum_attempt_time &&
        m_state.try_repeat(m_service->id, std::chrono::steady_clock::now())) {
        m_may_have_run = true;
        // The retry has been taken from the budget. `may_retry` must not take it twice.
        m_has_reserved_retry = true;
        m_failure_answer = std::move(whole);
        co_return attempt_end::failed;
    }
    co_await m_writer.send(std::move(whole));
    co_return attempt_end::delivered;
}

void forwarded_request::check_time_left() const
{
    // A read does not time out while bytes keep arriving.
    if (const auto left = time_left(); left && *left <= minimum_time_left)
        throw http::call_error(http::call_stage::after_header, "the response did not end in time", true);
}

asio::awaitable<std::string> forwarded_request::read_part(http::part_stream& answer)
{
    m_is_reading = true;
    auto part = co_await answer.next_part(read_timeout());
    m_is_reading = false;
    co_return part;
}

bool forwarded_request::try_hold(std::size_t bytes)
{
    const auto counted = bytes > answer_bytes_of_request ? bytes - answer_bytes_of_request : 0;
    return m_held_answer.try_resize(counted, memory_use::answer);
}

bool forwarded_request::try_hold_unfinished_event()
{
    if (try_hold(m_events.held_bytes()))
        return true;
    m_events.release_unused();
    return try_hold(m_events.held_bytes());
}

asio::awaitable<forwarded_request::body_end> forwarded_request::read_body(http::part_stream& answer,
                                                                          http::response& whole)
{
    // The error response of an earlier attempt is kept meanwhile.
    const auto held_before = m_failure_answer ? m_failure_answer->body.size() : 0;
    std::size_t size = 0;
    while (true) {
        check_time_left();
        auto part = co_await read_part(answer);
        on_progress();
        if (part.empty())
            break;
        size += part.size();
        if (size > maximum_response_size)
            throw http::call_error(http::call_stage::after_header, "the response is too large");
        whole.body += part;
        // Without memory to hold the body it is passed on at once.
        const bool may_hold = whole.body.size() <= maximum_held_body && !m_writer.started() &&
                              try_hold(held_before + whole.body.capacity());
        if (may_hold)
            continue;
        if (!m_writer.started())
            co_await m_writer.begin(whole.status, whole.headers);
        co_await m_writer.write(std::exchange(whole.body, {}));
        static_cast<void>(try_hold(held_before));
        on_progress();
    }
    if (!m_writer.started())
        co_return body_end::held;
    co_await m_writer.finish();
    co_return body_end::passed_on;
}

asio::awaitable<void> forwarded_request::forward_events(const dispatch::endpoint_record& endpoint,
                                                        http::part_stream& answer, std::string events)
{
    if (!m_writer.started()) {
        m_call.work.software = endpoint.software;
        m_state.streams().begin({stream_number(), m_service->id, endpoint.software},
                                std::chrono::steady_clock::now());
        m_stream_format = format_of(answer);
        co_await m_writer.begin(answer.status(), m_codec.forwarded(answer.headers()));
    }
    co_await m_writer.write(std::move(events));
}

void forwarded_request::check_continuation(const http::part_stream& answer) const
{
    if (m_writer.started() && m_stream_format != format_of(answer))
        throw http::call_error(http::call_stage::after_header,
                               "the endpoint sent another kind of response instead of resuming the stream");
}

void forwarded_request::check_stream_end(const http::part_stream& answer, bool has_event) const
{
    if (m_events.has_partial_event())
        throw http::call_error(http::call_stage::after_header, "the stream ended within an event");
    if (m_events.is_behind())
        throw http::call_error(http::call_stage::after_header,
                               "the stream started again and ended before its last event");
    if (m_writer.started() && !has_event && answer.ends_with_connection())
        throw http::call_error(http::call_stage::after_header,
                               "the connection ended without an event of the resumed stream");
}

asio::awaitable<attempt_end> forwarded_request::relay_event_stream(const dispatch::endpoint_record& endpoint,
                                                                   http::part_stream& answer,
                                                                   dispatch::attempt_ticket& ticket)
{
    check_continuation(answer);
    const auto events_at_start = m_events.events();
    bool has_event = false;
    while (true) {
        check_time_left();
        const auto part = co_await read_part(answer);
        if (part.empty())
            break;
        if (!has_event) {
            has_event = true;
            const auto now = std::chrono::steady_clock::now();
            m_state.balancer().first_event(ticket, now);
            m_running_answer = m_state.pace(m_service->id).begin(m_call.work.answer_tokens, now);
            count_run();
        }
        const auto events_before = m_events.events();
        auto events = m_events.add(part);
        // Kept until the caller has taken the events: a slow one holds them. They count as delivered, so
        // another endpoint would go on behind them. They are passed on before anything can end the attempt,
        // also without memory for them, which they take already.
        static_cast<void>(try_hold(std::max(m_events.held_bytes(), events.size())));
        if (!events.empty())
            co_await forward_events(endpoint, answer, std::move(events));
        if (m_events.is_event_too_large())
            throw http::call_error(http::call_stage::after_header, "an event is too large");
        if (!try_hold_unfinished_event())
            throw http::call_error(http::call_stage::after_header, "no memory for an event without an end");
        if (m_events.is_out_of_place())
            throw http::call_error(http::call_stage::after_header,
                                   "the resumed stream sent an event without a place");
        // Progress is counted in events: bytes that complete none do not extend the wait.
        if (m_events.events() > events_before)
            on_progress();
    }
    check_stream_end(answer, m_events.events() > events_at_start);
    if (m_events.events() > 0)
        count_answer();
    if (!m_writer.started())
        co_await m_writer.begin(answer.status(), m_codec.forwarded(answer.headers()));
    co_await m_writer.finish();
    co_return attempt_end::delivered;
}

} // namespace siskinwharf::forwarding
