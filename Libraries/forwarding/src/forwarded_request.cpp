#include "forwarded_request.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "crash_check.h"
#include "estimate_metrics.h"
#include "silence_watch.h"
#include "siskinwharf/base/digest.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"
#include "siskinwharf/http/error.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

using std::chrono::duration_cast;

/// Opening a connection takes about 1 ms within a region and some tens of milliseconds between regions.
constexpr milliseconds connect_timeout{400};
/// Number of failed connection attempts after which the request is refused.
constexpr std::size_t maximum_unreachable_attempts = 3;
/// Number of them after which a request waits until it is known whether this process reaches any endpoint.
constexpr std::size_t unreachable_attempts_until_doubt = 2;
/// Time between two checks whether a software version has been recorded.
constexpr milliseconds recording_check_interval{20};
/// Time between two checks of an endpoint's silence.
constexpr milliseconds silence_check_interval{100};

} // namespace

forwarded_request::forwarded_request(asio::any_io_executor executor, traffic_state& state,
                                     const call_codec& codec, http::client& client,
                                     telemetry::metrics_registry& metrics, stream_origin_source& origins,
                                     const request_route_options& options, call request,
                                     http::response_writer& writer)
    : m_executor(std::move(executor)),
      m_state(state),
      m_codec(codec),
      m_client(client),
      m_metrics(metrics),
      m_origins(origins),
      m_options(options),
      m_call(std::move(request)),
      m_body(std::make_shared<const std::string>(std::exchange(m_call.message.body, {}))),
      m_writer(writer),
      m_started(std::chrono::steady_clock::now()),
      m_snapshot(state.configuration()),
      m_configuration_origin(state.origin_of_configuration()),
      m_control(std::make_shared<http::call_control>()),
      m_held_answer(state.memory())
{
}

forwarded_request::~forwarded_request()
{
    // A request that ends with an exception is not told here: its connection says so.
    if (m_has_ended || std::uncaught_exceptions() > 0)
        return;
    const auto taken = duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started);
    log_event(event::request_abandoned, {{"request", m_call.id.value()},
                                         {"attempts", std::to_string(m_tried_endpoints.size())},
                                         {"events", std::to_string(m_events.events())},
                                         {"taken_ms", std::to_string(taken.count())}});
}

asio::awaitable<void> forwarded_request::run()
{
    co_await handle();
    m_has_ended = true;
}

asio::awaitable<void> forwarded_request::handle()
{
    if (m_options.is_relayed && m_state.paths().is_lost()) {
        co_await refuse_relayed();
        co_return;
    }
    if (auto reason = find_service()) {
        co_await refuse(std::move(*reason));
        co_return;
    }
    m_writer.watch_disconnect([this] {
        m_is_caller_gone = true;
        m_control->cancel();
    });
    if (is_for_helper()) {
        if (auto reason = check_stop(std::chrono::steady_clock::now()))
            co_await refuse(std::move(*reason));
        else
            co_await pass_to_helper();
        co_return;
    }
    if (auto reason = co_await admit()) {
        co_await refuse(std::move(*reason));
        co_return;
    }
    co_await wait_for_recorded_software();
    co_await serve();
}

asio::awaitable<void> forwarded_request::serve()
{
    while (true) {
        if (m_unreachable_attempts >= unreachable_attempts_until_doubt)
            co_await wait_for_probe();
        if (is_for_helper()) {
            refund_quota();
            co_await pass_to_helper();
            co_return;
        }
        const auto end = co_await attempt();
        if (!end)
            co_return;
        const bool is_over = *end == attempt_end::delivered || *end == attempt_end::aborted ||
                             *end == attempt_end::caller_gone;
        const bool is_passed_on = *end == attempt_end::not_sent && is_for_helper();
        if (is_over || (!is_passed_on && !may_retry(*end))) {
            if (!is_over)
                co_await answer_failure(*end);
            co_return;
        }
    }
}

asio::awaitable<std::optional<attempt_end>> forwarded_request::attempt()
{
    const auto now = std::chrono::steady_clock::now();
    // Between two attempts, peers may have told that the request must not run.
    std::optional<http::refusal> quarantined;
    if (!m_tried_endpoints.empty())
        quarantined = check_quarantine(now);
    if (quarantined) {
        co_await refuse_attempt(std::move(*quarantined));
        co_return std::nullopt;
    }
    restrict_software();
    const auto decision =
        m_state.balancer().place(*m_service, m_call.work, m_tried_endpoints, response_start_budget(), now);
    if (const auto* refused = std::get_if<dispatch::placement_refusal>(&decision)) {
        m_state.count_prompt_tokens(m_service->id, m_call.work.prompt_tokens, now);
        const auto type = refused->reason == dispatch::refusal_reason::no_endpoint
                              ? http::refusal_type::no_endpoint
                              : http::refusal_type::deadline_unreachable;
        const auto retry_after = refused->reason == dispatch::refusal_reason::limited
                                     ? usable_retry_after(refused->retry_after)
                                     : refused->retry_after;
        http::refusal reason{type, std::string(to_string(refused->reason)), outcome::not_run, retry_after};
        co_await refuse_attempt(std::move(reason));
        co_return std::nullopt;
    }
    const auto& chosen = std::get<dispatch::placement>(decision);
    const auto endpoint = chosen.endpoint;
    m_tried_endpoints.push_back(endpoint.id);
    auto ticket = m_state.balancer().start(*m_service, endpoint.id, m_call.work, now);
    ticket.uncertain_tokens = chosen.uncertain_tokens;
    m_state.count_prompt_tokens(m_service->id, ticket.prefill_tokens, now);
    log_event(event::request_placed,
              {{"request", m_call.id.value()},
               {"endpoint", endpoint.id.value()},
               {"software", endpoint.software.value()},
               {"service", m_service->id.value()},
               {"account", m_account == nullptr ? "" : m_account->id.value()},
               {"tokens", std::to_string(m_call.work.prompt_tokens + m_call.work.answer_tokens)},
               {"running", std::to_string(ticket.running_before)},
               {"tokens_ahead", std::to_string(ticket.tokens_ahead)},
               {"expected_ms", std::to_string(chosen.expected.count())},
               {"slowdown", fmt::format("{:.2f}", chosen.slowdown)},
               {"candidates", std::to_string(chosen.candidates)},
               {"parts", dispatch::to_string(m_call.work.parts)},
               {"attempt", std::to_string(m_tried_endpoints.size())}});
    const auto end = co_await send(endpoint, ticket, chosen.expected);
    if (ticket.first_event_at)
        count_estimate(m_metrics, m_service->id, chosen.expected,
                       duration_cast<milliseconds>(*ticket.first_event_at - ticket.started));
    log_event(
        event::attempt_ended,
        {{"request", m_call.id.value()},
         {"endpoint", endpoint.id.value()},
         {"outcome", std::string(to_string(end))},
         {"events", std::to_string(m_events.events())},
         {"expected_ms", std::to_string(chosen.expected.count())},
         {"first_event_ms",
          ticket.first_event_at
              ? std::to_string(duration_cast<milliseconds>(*ticket.first_event_at - ticket.started).count())
              : "none"},
         {"taken_ms",
          std::to_string(
              duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started).count())}});
    co_return end;
}

bool forwarded_request::is_resumable_stream() const
{
    return m_route->kind == deployment::request_kind::stream && m_route->is_resumable;
}

void forwarded_request::restrict_software()
{
    m_call.work.allowed_software.reset();
    if (!is_resumable_stream())
        return;
    const auto now = std::chrono::steady_clock::now();
    m_call.work.allowed_software = m_state.software().begin_rule(m_service->id, now).allowed;
}

asio::awaitable<void> forwarded_request::wait_for_recorded_software()
{
    if (!is_resumable_stream() || m_call.work.software)
        co_return;
    asio::steady_timer timer(m_executor);
    while (!m_is_caller_gone && time_left().value_or(default_request_timeout) > minimum_attempt_time) {
        const auto now = std::chrono::steady_clock::now();
        if (!m_state.software().begin_rule(m_service->id, now).must_wait)
            co_return;
        timer.expires_after(recording_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<attempt_end> forwarded_request::send(const dispatch::endpoint_record& endpoint,
                                                     dispatch::attempt_ticket& ticket, milliseconds expected)
{
    auto& balancer = m_state.balancer();
    endpoint_request_options order;
    order.endpoint = endpoint;
    if (m_account != nullptr)
        order.account = m_account->id;
    if (m_service->engine)
        order.urgency = m_call.work.urgency;
    order.time_left = time_left();
    order.resume_after = m_events.last_id() ? m_events.last_id() : m_call.resume_after;
    const http::address target{endpoint.ip, endpoint.port};
    const auto wait = read_timeout();
    const http::call_times times{std::min(connect_timeout, wait), wait};
    auto message = m_codec.encode(m_call, order);
    if (!m_is_caller_gone)
        m_control = std::make_shared<http::call_control>();
    m_verdict = dispatch::silence_verdict::none;
    m_is_reading = true;
    m_attempt_number = m_state.balancer().activity().start(endpoint.id, m_service->id, expected,
                                                           std::chrono::steady_clock::now());
    m_state.paths().begin_wait(endpoint.id, std::chrono::steady_clock::now());
    ++m_sent_attempts;
    std::optional<silence_watch> watch;
    if (may_try_elsewhere())
        watch.emplace(m_executor, silence_check_interval, [this] { return give_up_if_silent(); });
    std::unique_ptr<http::part_stream> answer;
    auto end = attempt_end::failed;
    try {
        answer = co_await m_client.open_parts(target, std::move(message), times, m_control, m_body);
        m_is_reading = false;
        on_progress();
        end = co_await receive(endpoint, *answer, ticket);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send) {
            end = attempt_end::not_sent;
            --m_sent_attempts;
        }
        if (m_is_caller_gone)
            end = attempt_end::caller_gone;
        else if (m_verdict != dispatch::silence_verdict::none && end == attempt_end::failed)
            end = attempt_end::given_up;
        else if (const auto left = time_left();
                 left && *left <= minimum_time_left && end == attempt_end::failed)
            end = attempt_end::timed_out;
        log_event(event::attempt_broken,
                  {{"request", m_call.id.value()},
                   {"endpoint", endpoint.id.value()},
                   {"reason", end == attempt_end::given_up ? "given up, " + std::string(to_string(m_verdict))
                                                           : std::string(error.what())}});
    } catch (const http::caller_disconnected&) {
        m_is_caller_gone = true;
        end = attempt_end::caller_gone;
    }
    watch.reset();
    const auto now = std::chrono::steady_clock::now();
    m_state.paths().end_wait(endpoint.id);
    if (end == attempt_end::not_sent)
        m_state.paths().on_connect_failed(endpoint.id, now);
    if (m_running_answer)
        m_state.pace(m_service->id).end(*std::exchange(m_running_answer, std::nullopt), now);
    m_state.balancer().activity().finish(m_attempt_number, end == attempt_end::delivered, now);
    auto result = dispatch::attempt_result::cancelled;
    if (end == attempt_end::delivered)
        result = dispatch::attempt_result::answered;
    else if (end == attempt_end::not_run)
        result = dispatch::attempt_result::rejected;
    else if (end == attempt_end::not_sent)
        result = dispatch::attempt_result::unreachable;
    else if (end == attempt_end::failed || end == attempt_end::aborted)
        result = dispatch::attempt_result::broken;
    else if (end == attempt_end::given_up && m_verdict == dispatch::silence_verdict::hung)
        result = dispatch::attempt_result::silent;
    balancer.finish(ticket, result, now);
    if (end != attempt_end::not_run && end != attempt_end::not_sent)
        m_may_have_run = true;
    if (result == dispatch::attempt_result::broken || result == dispatch::attempt_result::silent)
        start_crash_check(endpoint);
    if (end == attempt_end::delivered && !m_state.quarantine().is_empty())
        static_cast<void>(m_state.quarantine().on_finished(content(), now));
    co_return end;
}

bool forwarded_request::is_repeatable() const
{
    if (m_route->kind == deployment::request_kind::stream)
        return m_route->is_resumable && m_events.can_resume();
    return m_route->kind == deployment::request_kind::idempotent;
}

bool forwarded_request::may_retry(attempt_end end)
{
    if (m_is_caller_gone || time_left().value_or(default_request_timeout) < minimum_attempt_time)
        return false;
    m_events.drop_partial_event();
    if (end == attempt_end::not_sent)
        return ++m_unreachable_attempts < maximum_unreachable_attempts;
    if (end == attempt_end::timed_out || m_sent_attempts >= m_route->maximum_attempts)
        return false;
    if ((end == attempt_end::failed || end == attempt_end::given_up) && !is_repeatable())
        return false;
    if (std::exchange(m_has_reserved_retry, false))
        return true;
    return m_state.try_repeat(m_service->id, std::chrono::steady_clock::now());
}

void forwarded_request::refund_quota()
{
    if (m_account != nullptr && m_quota_taken > 0)
        m_state.refund_quota(*m_account, std::exchange(m_quota_taken, 0), std::chrono::steady_clock::now());
}

void forwarded_request::start_crash_check(const dispatch::endpoint_record& endpoint)
{
    broken_request request{m_call.id, content(), m_call.work.parts, m_events.events(),
                           !std::exchange(m_has_crash_check, true)};
    asio::co_spawn(m_executor, check_for_crash(m_executor, m_state, endpoint, std::move(request)),
                   asio::detached);
}

void forwarded_request::count_run()
{
    if (m_account != nullptr && !std::exchange(m_is_run_counted, true))
        m_state.count_run(m_account->id, std::chrono::steady_clock::now());
}

void forwarded_request::count_answer()
{
    m_state.count_part_answer(dispatch::shared_part_ids(m_call.work.parts), std::chrono::steady_clock::now());
}

std::optional<milliseconds> forwarded_request::time_left() const
{
    auto limit = milliseconds::max();
    if (m_call.deadline)
        limit = *m_call.deadline;
    if (m_route->timeout.count() > 0)
        limit = std::min(limit, m_route->timeout);
    if (limit == milliseconds::max())
        return std::nullopt;
    const auto taken = duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started);
    return std::max(limit - taken, minimum_time_left);
}

milliseconds forwarded_request::response_start_budget() const
{
    const auto taken = duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started);
    const auto target =
        m_route->latency_target.count() > 0 ? m_route->latency_target : default_request_timeout;
    const auto left = time_left().value_or(default_request_timeout);
    // A request that missed its latency target is still served until it times out.
    return taken > target ? left : std::min(target - taken, left);
}

void forwarded_request::on_progress()
{
    m_state.paths().on_received(std::chrono::steady_clock::now());
    m_state.balancer().activity().on_progress(m_attempt_number, std::chrono::steady_clock::now());
}

bool forwarded_request::give_up_if_silent()
{
    // While the caller takes what has arrived, the endpoint is not waited for.
    if (!m_is_reading)
        return false;
    const auto now = std::chrono::steady_clock::now();
    const auto left = time_left().value_or(default_request_timeout);
    const auto verdict = m_state.balancer().activity().assess(m_attempt_number, left, now);
    if (verdict == dispatch::silence_verdict::none || !is_served_elsewhere(now))
        return false;
    // Without a retry the request stays where it is, because its endpoint may go on.
    if (!m_has_reserved_retry && !m_state.try_repeat(m_service->id, now))
        return false;
    m_has_reserved_retry = true;
    m_verdict = verdict;
    if (verdict == dispatch::silence_verdict::hung)
        m_state.balancer().activity().on_given_up(m_attempt_number, now);
    m_control->cancel();
    return true;
}

bool forwarded_request::is_served_elsewhere(monotonic_time now) const
{
    const auto left = time_left().value_or(default_request_timeout);
    const auto decision =
        m_state.balancer().place(*m_service, m_call.work, m_tried_endpoints, response_start_budget(), now);
    const auto* other = std::get_if<dispatch::placement>(&decision);
    return other != nullptr && other->expected < left && left >= minimum_attempt_time;
}

bool forwarded_request::may_try_elsewhere() const
{
    return is_repeatable() && m_sent_attempts < m_route->maximum_attempts;
}

admission::content_key forwarded_request::content() const
{
    const auto& message = m_call.message;
    return {m_account == nullptr ? account_id() : m_account->id,
            sha256_hex(message.method + " " + message.path + "?" + message.query + "\n" + *m_body)};
}

} // namespace siskinwharf::forwarding
