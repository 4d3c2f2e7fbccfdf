#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "event_splitter.h"
#include "siskinwharf/forwarding/call.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/http/server.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::forwarding {

/// Result of one attempt to forward a request to an endpoint.
enum class attempt_end {
    delivered,   ///< The caller received the whole response.
    aborted,     ///< The caller received part of a response that will not be completed.
    not_run,     ///< The endpoint reported that it did not run the request.
    not_sent,    ///< No connection could be opened.
    failed,      ///< The endpoint may have run the request.
    timed_out,   ///< The request timed out; the endpoint may have run it.
    caller_gone, ///< The caller disconnected.
};

[[nodiscard]] std::string_view to_string(attempt_end end);

/// Handles one caller's request from its arrival to the end of the response.
class forwarded_request {
public:
    forwarded_request(boost::asio::any_io_executor executor, traffic_state& state, const call_codec& codec,
                      http::client& client, telemetry::metrics_registry& metrics, call request,
                      http::response_writer& writer);
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;
    forwarded_request(forwarded_request&&) = delete;
    forwarded_request& operator=(forwarded_request&&) = delete;
    /// Says so if the process ends before the request has its answer.
    ~forwarded_request();

    boost::asio::awaitable<void> run();

private:
    /// Timeout of a request for which neither the caller nor the route sets one.
    static constexpr milliseconds default_request_timeout{300'000};
    /// No retry is made with less time left than this.
    static constexpr milliseconds minimum_attempt_time{50};
    /// Result of `time_left` after the deadline.
    static constexpr milliseconds minimum_time_left{1};

    /// Resolves the route and the client account and takes the quota. Returns the reason if the request is
    /// refused.
    [[nodiscard]] std::optional<http::refusal> admit();
    [[nodiscard]] std::optional<http::refusal> authorize();
    /// Returns the reason if the request must not run because it, or others like it, crashed endpoints.
    [[nodiscard]] std::optional<http::refusal> check_quarantine(monotonic_time now) const;
    /// Returns the reason if this process stops before the answer would be whole.
    [[nodiscard]] std::optional<http::refusal> check_stop(monotonic_time now) const;
    /// Upper estimate of the time to the end of the answer.
    [[nodiscard]] milliseconds longest_answer_time(monotonic_time now) const;
    void log_quota_exceeded(double amount, monotonic_time now) const;
    boost::asio::awaitable<void> serve();
    /// Selects an endpoint and forwards the request once. Returns nothing if the caller has been answered
    /// because no endpoint could be selected.
    boost::asio::awaitable<std::optional<attempt_end>> attempt();
    boost::asio::awaitable<attempt_end> send(const dispatch::endpoint_record& endpoint,
                                             dispatch::attempt_ticket& ticket, milliseconds expected);
    boost::asio::awaitable<attempt_end> receive(const dispatch::endpoint_record& endpoint,
                                                http::part_stream& answer, dispatch::attempt_ticket& ticket);
    boost::asio::awaitable<attempt_end> relay_response(http::part_stream& answer,
                                                       dispatch::attempt_ticket& ticket);
    /// How the body of a response was read.
    enum class body_end {
        held,      ///< It is whole, and nothing has been sent to the caller.
        passed_on, ///< The caller has received it.
    };
    /// Throws `http::call_error` after the deadline.
    void check_time_left() const;
    /// Reads the body into `whole`, or passes a large one on.
    boost::asio::awaitable<body_end> read_body(http::part_stream& answer, http::response& whole);
    boost::asio::awaitable<attempt_end> relay_event_stream(http::part_stream& answer,
                                                           dispatch::attempt_ticket& ticket);
    boost::asio::awaitable<void> forward_events(http::part_stream& answer, std::string events);
    /// Whether another attempt may follow a failed one. Takes a retry from the budget where one is needed.
    [[nodiscard]] bool may_retry(attempt_end end);
    boost::asio::awaitable<void> refuse(http::refusal reason);
    /// Refuses the request, or reports a failure if it may have run.
    boost::asio::awaitable<void> refuse_attempt(http::refusal reason);
    boost::asio::awaitable<void> answer_failure(attempt_end end);
    void start_crash_check(const dispatch::endpoint_record& endpoint);
    void count_run();
    /// Records that an endpoint answered the request in full.
    void count_answer();

    [[nodiscard]] bool is_repeatable() const;
    /// Whether another attempt may follow the present one.
    [[nodiscard]] bool may_try_elsewhere() const;
    [[nodiscard]] std::optional<milliseconds> time_left() const;
    /// Time left for the response to start, from the latency target of the route and the time left.
    [[nodiscard]] milliseconds response_start_budget() const;
    /// Maximum wait for the next bytes: the time left, or `usual` if another endpoint could take over.
    [[nodiscard]] milliseconds read_timeout(milliseconds usual) const;
    [[nodiscard]] admission::content_key content() const;

    boost::asio::any_io_executor m_executor;
    traffic_state& m_state;
    const call_codec& m_codec;
    http::client& m_client;
    telemetry::metrics_registry& m_metrics;
    call m_call;
    http::response_writer& m_writer;

    const monotonic_time m_started;
    std::shared_ptr<const deployment::snapshot> m_snapshot;
    const deployment::route* m_route = nullptr;
    const deployment::account* m_account = nullptr;
    const deployment::service* m_service = nullptr;
    double m_quota_taken = 0;
    std::vector<endpoint_id> m_tried_endpoints;
    std::size_t m_sent_attempts = 0;        ///< Attempts that reached an endpoint.
    std::size_t m_unreachable_attempts = 0; ///< Attempts without a connection.
    bool m_may_have_run = false;
    bool m_has_reserved_retry = false; ///< A retry has already been taken from the budget.
    bool m_is_run_counted = false;
    bool m_has_crash_check = false; ///< An endpoint that ran the request has been checked for a crash.
    bool m_is_caller_gone = false;
    std::optional<dispatch::answer_pace::answer_number>
        m_running_answer;     ///< Stream that has its first event.
    bool m_has_ended = false; ///< `run` has returned.
    /// Error response of an endpoint, which is sent if no retry succeeds.
    std::optional<http::response> m_failure_answer;
    std::shared_ptr<http::call_control> m_control;
    event_splitter m_events;
};

} // namespace siskinwharf::forwarding
