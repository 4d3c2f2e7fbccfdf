#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// Bounds on the silence of an endpoint. Silence is the time without progress: response bytes, or whole
/// events of a stream.
struct activity_limits {
    /// A request is overdue after this silence, and after `overdue_factor` times the time expected for it.
    milliseconds overdue{500};
    int overdue_factor = 4;
    /// Silence of an endpoint with several overdue requests after which it is considered hung.
    milliseconds shared_silence{1'200};
    /// Least silence after which an endpoint with a single overdue request is considered hung.
    milliseconds single_silence{1'700};
    /// An endpoint that was given up is doubted for this long, or until it makes progress: its next requests
    /// are given up as soon as they are overdue.
    milliseconds doubt{8'000};
    /// Least silence after which a request is considered lost although its endpoint serves others.
    milliseconds lost_request{3'000};
    /// The last two bounds are at least this many times the longest silence that is usual for the service.
    int usual_factor = 2;
    /// Least time that is kept for another endpoint, and its factor on the time expected for the request.
    milliseconds reserved{300};
    int reserved_factor = 2;
};

/// What the silence of an endpoint means for a request that waits there.
enum class silence_verdict {
    none, ///< The endpoint is considered sound.
    hung, ///< The endpoint is silent towards all requests of this process.
    lost, ///< The endpoint serves others, but has been silent towards this request for unusually long.
    last_attempt, ///< The request is overdue, and just enough time is left for another endpoint.
};

[[nodiscard]] std::string_view to_string(silence_verdict verdict);

/// Records when endpoints made progress on the requests of this process, and decides whether a silent
/// endpoint is given up. It does no I/O and reads no clock.
class endpoint_activity {
public:
    using attempt_number = std::uint64_t;

    explicit endpoint_activity(activity_limits limits = {}) : m_limits(limits) {}

    /// Adds a request that was sent to an endpoint. `expected` is the expected time to its first event.
    [[nodiscard]] attempt_number start(const endpoint_id& endpoint, const service_id& service,
                                       milliseconds expected, monotonic_time now);
    /// Records that response bytes or an event arrived.
    void on_progress(attempt_number number, monotonic_time now);
    /// Removes a request. The longest silence of a delivered one counts as usual for its service.
    void finish(attempt_number number, bool is_delivered, monotonic_time now);
    /// Records that an endpoint was given up by one of its requests.
    void on_given_up(attempt_number number, monotonic_time now);

    /// `time_left`: until the deadline of the request.
    [[nodiscard]] silence_verdict assess(attempt_number number, milliseconds time_left,
                                         monotonic_time now) const;
    /// For how long an endpoint has been silent towards all requests while one of them is overdue, or 0.
    [[nodiscard]] milliseconds overdue_silence(const endpoint_id& endpoint, monotonic_time now) const;
    /// The silence that is exceeded by 1 in 100 of the last delivered requests of a service; 0: not known.
    [[nodiscard]] milliseconds usual_silence(const service_id& service) const;

private:
    struct waiting_request {
        endpoint_id endpoint;
        service_id service;
        milliseconds expected{0};        ///< Until the next progress; 0 after the first.
        monotonic_time last_progress{};  ///< Or the start, if there was none.
        milliseconds longest_silence{0}; ///< Before `last_progress`.
    };
    struct endpoint_progress {
        monotonic_time last_progress{}; ///< On any request, or the start of the oldest one.
        std::map<attempt_number, waiting_request> requests;
    };

    [[nodiscard]] static milliseconds silence(monotonic_time since, monotonic_time now);
    /// Silence after which the request is overdue.
    [[nodiscard]] milliseconds overdue_after(const waiting_request& request) const;
    [[nodiscard]] bool is_overdue(const waiting_request& request, monotonic_time now) const;
    [[nodiscard]] std::ptrdiff_t count_overdue(const endpoint_progress& progress, monotonic_time now) const;
    /// Whether the endpoint was given up lately and has made no progress since.
    [[nodiscard]] bool is_doubted(const endpoint_id& endpoint, monotonic_time now) const;
    void forget_old_doubts(monotonic_time now);

    activity_limits m_limits;
    attempt_number m_last_number = 0;
    std::unordered_map<attempt_number, endpoint_id> m_endpoint_of;
    std::unordered_map<endpoint_id, endpoint_progress> m_endpoints; ///< Those with requests.
    std::unordered_map<endpoint_id, monotonic_time> m_given_up_at;  ///< Endpoints without progress since.
    /// Longest silences of the last delivered requests, oldest first.
    std::map<service_id, std::deque<milliseconds>> m_silences;
};

} // namespace siskinwharf::dispatch
