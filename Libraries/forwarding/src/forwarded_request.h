#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "attempt_end.h"
#include "event_splitter.h"
#include "siskinwharf/forwarding/call.h"
#include "siskinwharf/forwarding/helper_source.h"
#include "siskinwharf/forwarding/stream_origin_source.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/http/server.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::forwarding {

/// What the responses of all endpoints that contribute to one stream have in common.
struct stream_format {
    int status = 0;
    std::string media_type; ///< In lower case, without parameters. Empty if the response does not say it.
    std::string encoding;

    bool operator==(const stream_format&) const = default;
};

/// Where a request came from, and where it may go if this process reaches no endpoint.
struct request_route_options {
    /// Null: requests are not passed to peers.
    const helper_source* helpers = nullptr;
    /// A peer has passed the request on. It is not passed on again.
    bool is_relayed = false;
};

/// Handles one caller's request from its arrival to the end of the response.
class forwarded_request {
public:
    forwarded_request(boost::asio::any_io_executor executor, traffic_state& state, const call_codec& codec,
                      http::client& client, telemetry::metrics_registry& metrics,
                      stream_origin_source& origins, const request_route_options& options, call request,
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

    boost::asio::awaitable<void> handle();
    /// Finds the version of a stream that is taken up, and takes the quota. Returns the reason if the request
    /// is refused.
    [[nodiscard]] boost::asio::awaitable<std::optional<http::refusal>> admit();
    /// Resolves the route, the client account and the service. Returns the reason if one is missing.
    [[nodiscard]] std::optional<http::refusal> find_service();
    [[nodiscard]] std::optional<http::refusal> authorize();
    /// If the caller takes a stream up, finds the software version that began it. Returns the reason if it is
    /// not known.
    [[nodiscard]] boost::asio::awaitable<std::optional<http::refusal>> check_resumption();
    /// Number of the stream that the request begins or takes up.
    [[nodiscard]] std::uint64_t stream_number() const;
    /// Whether the caller goes on with a stream of which it has the first events.
    [[nodiscard]] bool is_taken_up() const;
    /// Sends the request to the service that began its stream. Returns the reason if its route does not.
    [[nodiscard]] std::optional<http::refusal> follow_service(const service_id& service);
    /// Counts the request and takes the quota. Returns the reason if it may not run now.
    [[nodiscard]] std::optional<http::refusal> check_load();
    /// Returns the reason if the request must not run because it, or others like it, crashed endpoints.
    [[nodiscard]] std::optional<http::refusal> check_quarantine(monotonic_time now) const;
    /// Returns the reason if this process stops before the answer would be whole.
    [[nodiscard]] std::optional<http::refusal> check_stop(monotonic_time now) const;
    /// Time to the end of the answer: expected while a process has just begun to stop, otherwise at most.
    [[nodiscard]] milliseconds expected_answer_time(monotonic_time now) const;
    void log_quota_exceeded(double amount, monotonic_time now) const;
    /// Waits until it is known whether the paths to endpoints are lost, if they may be.
    boost::asio::awaitable<void> wait_for_probe();
    /// Whether the request goes to a peer now.
    [[nodiscard]] bool is_for_helper() const;
    /// Passes the request to a peer that reaches endpoints, or refuses it.
    boost::asio::awaitable<void> pass_to_helper();
    enum class relay_end {
        answered, ///< The caller has the response, or its connection was ended.
        refused,  ///< The peer cannot help; the request has not run.
        failed,   ///< It may have run.
    };
    boost::asio::awaitable<relay_end> ask_helper(const dispatch::helper& peer);
    boost::asio::awaitable<relay_end> pass_answer(const dispatch::helper& peer, http::part_stream& answer);
    /// Refuses a request of a peer that this process cannot pass on either.
    boost::asio::awaitable<void> refuse_relayed();
    boost::asio::awaitable<void> serve();
    /// Selects an endpoint and forwards the request once. Returns nothing if the caller has been answered
    /// because no endpoint could be selected.
    boost::asio::awaitable<std::optional<attempt_end>> attempt();
    /// Whether the response is a stream that another endpoint may continue.
    [[nodiscard]] bool is_resumable_stream() const;
    /// A stream that may be taken up begins only at a software version that is recorded in the store.
    void restrict_software();
    /// Waits while all endpoints that take requests are of versions that are being recorded.
    boost::asio::awaitable<void> wait_for_recorded_software();
    boost::asio::awaitable<attempt_end> send(const dispatch::endpoint_record& endpoint,
                                             dispatch::attempt_ticket& ticket, milliseconds expected);
    boost::asio::awaitable<attempt_end> receive(const dispatch::endpoint_record& endpoint,
                                                http::part_stream& answer, dispatch::attempt_ticket& ticket);
    void observe_statement(const dispatch::endpoint_record& endpoint, const response_metadata& facts);
    boost::asio::awaitable<attempt_end> relay_response(http::part_stream& answer,
                                                       dispatch::attempt_ticket& ticket);
    /// How the body of a response was read.
    enum class body_end {
        held,      ///< It is whole, and nothing has been sent to the caller.
        passed_on, ///< The caller has received it.
    };
    [[nodiscard]] static bool is_success(int status);
    /// Keeps the length that a response without a body states, which is not that of what is passed on.
    static void copy_length(const http::part_stream& answer, http::response& whole);
    /// Throws `http::call_error` after the deadline.
    void check_time_left() const;
    /// Reads the body into `whole`, or passes a large one on.
    boost::asio::awaitable<body_end> read_body(http::part_stream& answer, http::response& whole);
    boost::asio::awaitable<attempt_end> relay_event_stream(const dispatch::endpoint_record& endpoint,
                                                           http::part_stream& answer,
                                                           dispatch::attempt_ticket& ticket);
    /// Throws `http::call_error` if the caller has part of a stream and the response does not continue it.
    void check_continuation(const http::part_stream& answer) const;
    /// Throws `http::call_error` if the response has ended and the stream has not.
    void check_stream_end(const http::part_stream& answer, bool has_event) const;
    /// Takes memory for bytes of answers that are kept. Returns false if there is not enough.
    [[nodiscard]] bool try_hold(std::size_t bytes);
    /// Takes memory for the event whose end has not arrived. Returns false if there is not enough.
    [[nodiscard]] bool try_hold_unfinished_event();
    boost::asio::awaitable<void> forward_events(const dispatch::endpoint_record& endpoint,
                                                http::part_stream& answer, std::string events);
    /// Whether another attempt may follow a failed one. Takes a retry from the budget where one is needed.
    [[nodiscard]] bool may_retry(attempt_end end);
    boost::asio::awaitable<void> refuse(http::refusal reason);
    /// Refuses the request, or reports a failure if it may have run.
    boost::asio::awaitable<void> refuse_attempt(http::refusal reason);
    boost::asio::awaitable<void> answer_failure(attempt_end end);
    /// Gives back what was taken of the quota: the request does not run here.
    void refund_quota();
    void start_crash_check(const dispatch::endpoint_record& endpoint);
    void count_run();
    /// Records that an endpoint answered the request in full.
    void count_answer();

    [[nodiscard]] bool is_repeatable() const;
    /// Whether another attempt may follow the present one.
    [[nodiscard]] bool may_try_elsewhere() const;
    [[nodiscard]] std::optional<milliseconds> time_left() const;
    /// Retry delay after all attempts were refused by endpoints.
    [[nodiscard]] milliseconds not_run_retry_after() const;
    /// Retry delay for a caller that waits for endpoints to take requests again in `wait`: within the time
    /// that callers wait at all, and spread so that not all come at once.
    [[nodiscard]] milliseconds usable_retry_after(milliseconds wait) const;
    /// Time left for the response to start, from the latency target of the route and the time left.
    [[nodiscard]] milliseconds response_start_budget() const;
    /// Reads what arrives next, up to the deadline.
    boost::asio::awaitable<std::string> read_part(http::part_stream& answer);
    /// Maximum wait for the next bytes.
    [[nodiscard]] milliseconds read_timeout() const { return time_left().value_or(default_request_timeout); }
    /// Ends the present attempt if its endpoint is silent for too long and another can serve the request.
    /// Returns whether it was ended.
    bool give_up_if_silent();
    /// Whether another endpoint is expected to serve the request before its deadline.
    [[nodiscard]] bool is_served_elsewhere(monotonic_time now) const;
    void on_progress();
    [[nodiscard]] admission::content_key content() const;

    boost::asio::any_io_executor m_executor;
    traffic_state& m_state;
    const call_codec& m_codec;
    http::client& m_client;
    telemetry::metrics_registry& m_metrics;
    stream_origin_source& m_origins;
    const request_route_options m_options;
    call m_call;
    /// Body of the caller's request, which all attempts send.
    std::shared_ptr<const std::string> m_body;
    http::response_writer& m_writer;

    const monotonic_time m_started;
    std::shared_ptr<const deployment::snapshot> m_snapshot;
    /// Of `m_snapshot`.
    configuration_origin m_configuration_origin;
    const deployment::route* m_route = nullptr;
    const deployment::account* m_account = nullptr;
    const deployment::service* m_service = nullptr;
    double m_quota_taken = 0;
    std::vector<endpoint_id> m_tried_endpoints;
    std::size_t m_sent_attempts = 0; ///< Attempts that may have reached an endpoint, with the present one.
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
    std::shared_ptr<http::call_control> m_control; ///< Of the present attempt.
    dispatch::endpoint_activity::attempt_number m_attempt_number = 0;
    bool m_is_reading = false; ///< Bytes of the endpoint are waited for.
    dispatch::silence_verdict m_verdict = dispatch::silence_verdict::none; ///< On the present attempt.
    event_splitter m_events;
    memory_share m_held_answer; ///< Memory for what is kept of answers beyond a small part.
    /// Format of the stream of which the caller has received the beginning.
    std::optional<stream_format> m_stream_format;
};

} // namespace siskinwharf::forwarding
