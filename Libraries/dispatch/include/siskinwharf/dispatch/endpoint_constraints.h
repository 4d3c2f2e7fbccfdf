#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// What an endpoint said of its limit and of leaving, in the form that peers exchange.
struct endpoint_limit {
    endpoint_id endpoint;
    std::uint64_t started_ms = 0;     ///< Incarnation of the endpoint.
    std::optional<double> per_second; ///< Missing: the endpoint names no limit any more.
    milliseconds age{0};
    bool is_leaving = false; ///< The endpoint takes no new requests any more.

    auto operator<=>(const endpoint_limit&) const = default;
};

/// What one response of an endpoint says of the requests that the endpoint takes.
struct endpoint_statement {
    /// Requests a second that the endpoint takes from all processes together, for as long as it says so.
    std::optional<double> requests_per_second;
    bool is_leaving = false;           ///< The endpoint takes no new requests any more.
    std::optional<milliseconds> pause; ///< Time for which the endpoint takes no requests of this process.
    bool is_limit_malformed = false;   ///< A limit is named that cannot be read; the one known before holds.

    auto operator<=>(const endpoint_statement&) const = default;
};

/// What of a statement was not known before.
struct endpoint_statement_news {
    bool is_limit_new = false;
    bool is_leaving_new = false;
    std::optional<milliseconds> pause; ///< Time until the end of a pause that is new or ends at another time.
};

enum class constraint_kind {
    leaving,
    pause,
};

[[nodiscard]] std::string_view to_string(constraint_kind kind);

enum class constraint_end {
    expired,   ///< The time of the pause is over.
    withdrawn, ///< The endpoint named a pause of 0.
    replaced,  ///< Another incarnation of the endpoint, or another endpoint at its address, is listed.
    forgotten, ///< Too many endpoints that are not listed any more are remembered.
};

[[nodiscard]] std::string_view to_string(constraint_end reason);

/// A constraint that does not hold any more.
struct ended_constraint {
    endpoint_id endpoint;
    constraint_kind kind = constraint_kind::leaving;
    constraint_end reason = constraint_end::expired;
    monotonic_time since{}; ///< When the endpoint first said so.

    auto operator<=>(const ended_constraint&) const = default;
};

/// A process that sends requests to endpoints.
struct sending_process {
    instance_id id;
    failure_domain_id domain;

    auto operator<=>(const sending_process&) const = default;
};

/// Keeps what endpoints say of the requests they take, for each incarnation of an endpoint: that it leaves,
/// that it takes none for some time, or how many a second it takes. That an endpoint leaves ends with its
/// next incarnation and is remembered while the list of endpoints does not name it.
///
/// The limit of an endpoint is divided without communication: a hash picks a few processes of the endpoint's
/// failure domain, or of all if none is alive there. Each of them may send an equal share of the rate, and
/// the others send nothing. So many are picked that one request more of each, and a disagreement about a
/// process or two, stay within half the limit above it. Performs no I/O and reads no clock.
class endpoint_constraints {
public:
    /// Wait for an endpoint that takes no requests any more.
    static constexpr milliseconds never = milliseconds::max();
    /// Upper bound of a pause.
    static constexpr milliseconds maximum_pause{3'600'000};
    /// Endpoints that are remembered, because they leave or pause, after they are not listed any more.
    static constexpr std::size_t maximum_unlisted = 1'000;

    explicit endpoint_constraints(sending_process self) : m_self(std::move(self)) { set_processes({}); }

    /// Sets the other processes that are alive and not leaving.
    void set_processes(std::vector<sending_process> peers);
    /// Forgets limits of endpoints that are not listed any more, and what replaced incarnations said.
    void retain(const std::vector<endpoint_record>& endpoints);
    /// Records all that a response of this incarnation of an endpoint said.
    endpoint_statement_news observe(const endpoint_record& endpoint, const endpoint_statement& stated,
                                    monotonic_time now);
    /// Records the limit that a response of an endpoint named; nothing if it named none. Returns whether this
    /// is news.
    bool observe_limit(const endpoint_record& endpoint, std::optional<double> per_second, monotonic_time now);
    /// Merges what a peer said of the limit of this endpoint. Returns whether this is news.
    bool merge(const endpoint_record& endpoint, const endpoint_limit& told, monotonic_time now);
    /// Merges that a peer said that this endpoint leaves. Returns whether this is news.
    bool merge_leaving(const endpoint_record& endpoint, const endpoint_limit& told, monotonic_time now);
    /// Returns what peers should be told now: what changed lately or has not been told for a while.
    [[nodiscard]] std::vector<endpoint_limit> announcements(monotonic_time now) const;

    /// Returns the leaving endpoints and pauses that ended since the last call, sorted.
    [[nodiscard]] std::vector<ended_constraint> take_ended(monotonic_time now);

    /// Returns how long this process must wait before it sends a request to the endpoint; 0: not at all, and
    /// `never` if the endpoint takes none any more.
    [[nodiscard]] milliseconds wait(const endpoint_record& endpoint, monotonic_time now) const;
    /// Returns the time until the end of the endpoint's pause; 0 if there is none.
    [[nodiscard]] milliseconds pause_left(const endpoint_record& endpoint, monotonic_time now) const;
    /// Counts a request that is sent.
    void on_sent(const endpoint_record& endpoint, monotonic_time now);

private:
    /// Time for which an endpoint takes no requests.
    struct pause_time {
        monotonic_time since{};
        monotonic_time until{};
    };

    struct entry {
        std::uint64_t started_ms = 0;
        std::string ip;
        std::uint16_t port = 0;
        std::optional<monotonic_time> leaving_since; ///< When the endpoint first said so.
        bool is_leaving_own = false;                 ///< The endpoint said so to this process.
        std::optional<pause_time> pause;
        failure_domain_id domain;
        std::optional<double> per_second;
        monotonic_time announced{};  ///< When what the endpoint said was last news, or was told again.
        monotonic_time confirmed{};  ///< When the endpoint last said it to this process.
        double share_per_second = 0; ///< Of this process; 0: it sends nothing.
        double allowance = 0;        ///< Requests that may be sent at `counted`.
        monotonic_time counted{};
    };

    void take(entry& value, const endpoint_record& endpoint, std::optional<double> per_second,
              monotonic_time now);
    /// Returns the entry of this incarnation; what an earlier one said ends.
    entry& entry_of(const endpoint_record& endpoint);
    /// Returns the time until the end of the pause if it is news.
    std::optional<milliseconds> set_pause(const endpoint_record& endpoint, milliseconds pause,
                                          monotonic_time now);
    /// Ends what an incarnation said, apart from its limit.
    void end_statements(const endpoint_id& endpoint, entry& value, constraint_end reason);
    void end_pause(const endpoint_id& endpoint, entry& value, constraint_end reason);
    [[nodiscard]] std::vector<endpoint_limit> leaving_announcements(monotonic_time now) const;
    [[nodiscard]] static milliseconds limit_wait(const entry& value, monotonic_time now);
    [[nodiscard]] static milliseconds pause_wait(const entry& value, monotonic_time now);
    [[nodiscard]] double share_of(const endpoint_id& endpoint, const entry& value) const;
    [[nodiscard]] static double allowance_at(const entry& value, monotonic_time now);
    [[nodiscard]] static bool is_stale(const entry& value, monotonic_time now);

    const sending_process m_self;
    std::vector<sending_process> m_processes; ///< Including this one.
    std::unordered_map<endpoint_id, entry> m_entries;
    std::vector<ended_constraint> m_ended; ///< Since the last `take_ended`.
};

} // namespace siskinwharf::dispatch
