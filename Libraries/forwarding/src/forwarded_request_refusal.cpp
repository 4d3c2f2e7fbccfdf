// The part of forwarded_request that answers a request which is not served.

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "forwarded_request.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"
#include "siskinwharf/http/error.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

using std::chrono::duration_cast;

constexpr milliseconds retry_after_not_run{150};
/// Divisor of the remaining time up to which callers wait before they retry.
constexpr int usable_time_divisor = 3;
/// Time that a refusal takes to reach the caller at most, and the step in which `Retry-After` is written.
constexpr milliseconds response_travel_time{50};
constexpr milliseconds retry_after_step{10};
/// Divisor of a known wait, and its upper bound, over which callers that wait for the same moment are spread.
constexpr int retry_spread_divisor = 4;
constexpr milliseconds maximum_retry_spread{1'000};

} // namespace

asio::awaitable<void> forwarded_request::answer_failure(attempt_end end)
{
    if (m_writer.started()) {
        log_event(event::stream_cut,
                  {{"request", m_call.id.value()}, {"outcome", std::string(to_string(end))}});
        m_writer.abort();
        co_return;
    }
    if (m_failure_answer) {
        auto answer = std::move(*m_failure_answer);
        try {
            co_await m_writer.send(std::move(answer));
        } catch (const http::caller_disconnected& error) {
            log_event(event::caller_left, {{"request", m_call.id.value()}, {"reason", error.what()}});
        }
        co_return;
    }
    http::refusal reason;
    if (end == attempt_end::timed_out)
        reason = {http::refusal_type::deadline_exceeded, "no answer in time", outcome::unknown};
    else if (m_may_have_run)
        reason = {http::refusal_type::endpoint_failed, "the endpoint failed", outcome::unknown};
    else
        reason = {http::refusal_type::no_endpoint, "no endpoint took the request", outcome::not_run,
                  not_run_retry_after()};
    co_await refuse(std::move(reason));
}

asio::awaitable<void> forwarded_request::refuse_attempt(http::refusal reason)
{
    // Only a request that has not run may be refused as such.
    if (m_may_have_run || m_writer.started())
        co_await answer_failure(attempt_end::failed);
    else
        co_await refuse(std::move(reason));
}

asio::awaitable<void> forwarded_request::refuse(http::refusal reason)
{
    if (reason.result == outcome::not_run)
        refund_quota();
    const auto configuration_age =
        duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_configuration_origin.since);
    log_event(
        event::request_refused,
        {{"request", m_call.id.value()},
         {"route", m_route == nullptr ? "" : m_route->name},
         {"reason", std::string(to_string(reason.type))},
         {"detail", reason.message},
         {"outcome", std::string(to_string(reason.result))},
         {"configuration", std::to_string(m_snapshot ? m_snapshot->version() : 0)},
         {"configuration_source",
          m_snapshot ? std::string(to_string(m_configuration_origin.source)) : "none"},
         {"configuration_age_ms", std::to_string(m_snapshot ? configuration_age.count() : 0)},
         {"in_force", std::to_string(m_state.configuration() ? m_state.configuration()->version() : 0)},
         {"retry_after_ms", reason.retry_after ? std::to_string(reason.retry_after->count()) : "none"}});
    m_metrics
        .find_counter("siskinwharf_refusals_total", "Refused requests by reason.",
                      {{"reason", std::string(to_string(reason.type))}})
        ->add();
    const auto retry_after = std::exchange(reason.retry_after, std::nullopt);
    auto response = to_response(reason);
    if (retry_after) {
        // Fractional seconds: callers of this interface parse them, and whole seconds would be too long.
        constexpr double second_ms = 1'000;
        response.headers.push_back(
            {"Retry-After", fmt::format("{:.2f}", static_cast<double>(retry_after->count()) / second_ms)});
    }
    try {
        co_await m_writer.send(std::move(response));
    } catch (const http::caller_disconnected& error) {
        log_event(event::caller_left, {{"request", m_call.id.value()}, {"reason", error.what()}});
    }
}

milliseconds forwarded_request::not_run_retry_after() const
{
    const auto next = m_state.balancer().place(*m_service, m_call.work, {}, response_start_budget(),
                                               std::chrono::steady_clock::now());
    const auto* refused = std::get_if<dispatch::placement_refusal>(&next);
    return refused != nullptr && refused->reason == dispatch::refusal_reason::limited
               ? usable_retry_after(refused->retry_after)
               : retry_after_not_run;
}

milliseconds forwarded_request::usable_retry_after(milliseconds wait) const
{
    const auto spread = std::min(wait / retry_spread_divisor, maximum_retry_spread);
    const auto position = unit_interval(mix64(hash64(m_call.id.value())));
    const auto spread_wait =
        wait + milliseconds(std::llround(position * static_cast<double>(spread.count())));
    const auto usable =
        (time_left().value_or(default_request_timeout) - response_travel_time) / usable_time_divisor;
    return std::clamp(usable / retry_after_step * retry_after_step, milliseconds(0), spread_wait);
}

} // namespace siskinwharf::forwarding
