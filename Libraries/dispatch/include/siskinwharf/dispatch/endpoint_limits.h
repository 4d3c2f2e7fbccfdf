#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// What an endpoint said of its limit, in the form that peers exchange.
struct endpoint_limit {
    endpoint_id endpoint;
    std::uint64_t started_ms = 0;     ///< Incarnation of the endpoint.
    std::optional<double> per_second; ///< Missing: the endpoint names no limit any more.
    milliseconds age{0};

    auto operator<=>(const endpoint_limit&) const = default;
};

/// A process that sends requests to endpoints.
struct sending_process {
    instance_id id;
    failure_domain_id domain;

    auto operator<=>(const sending_process&) const = default;
};

/// Keeps the requests of all processes together within the limits that endpoints name in their responses.
///
/// The limit of an endpoint is divided without communication: a hash picks a few processes of the endpoint's
/// failure domain, or of all if none is alive there. Each of them may send an equal share of the rate, and
/// the others send nothing. So many are picked that one request more of each, and a disagreement about a
/// process or two, stay within half the limit above it. Performs no I/O and reads no clock.
class endpoint_limits {
public:
    explicit endpoint_limits(sending_process self) : m_self(std::move(self)) { set_processes({}); }

    /// Sets the other processes that are alive and not leaving.
    void set_processes(std::vector<sending_process> peers);
    /// Forgets the endpoints that are not listed any more.
    void retain(const std::vector<endpoint_record>& endpoints);
    /// Records what a response of an endpoint said; nothing if it named no limit. Returns whether this is
    /// news.
    bool observe(const endpoint_record& endpoint, std::optional<double> per_second, monotonic_time now);
    /// Merges what a peer said of this endpoint. Returns whether this is news.
    bool merge(const endpoint_record& endpoint, const endpoint_limit& told, monotonic_time now);
    /// Returns what peers should be told now: what changed lately or has not been told for a while.
    [[nodiscard]] std::vector<endpoint_limit> announcements(monotonic_time now) const;

    /// Returns how long this process must wait before it sends a request to the endpoint; 0: not at all.
    [[nodiscard]] milliseconds wait(const endpoint_record& endpoint, monotonic_time now) const;
    /// Counts a request that is sent.
    void on_sent(const endpoint_record& endpoint, monotonic_time now);

private:
    struct entry {
        std::uint64_t started_ms = 0;
        failure_domain_id domain;
        std::optional<double> per_second;
        monotonic_time announced{};  ///< When what the endpoint said was last news, or was told again.
        monotonic_time confirmed{};  ///< When the endpoint last said it to this process.
        double share_per_second = 0; ///< Of this process; 0: it sends nothing.
        double allowance = 0;        ///< Requests that may be sent at `counted`.
        monotonic_time counted{};
    };

    void take(entry& value, const endpoint_record& endpoint, std::optional<double> per_second,
              monotonic_time now) const;
    [[nodiscard]] double share_of(const endpoint_id& endpoint, const entry& value) const;
    [[nodiscard]] static double allowance_at(const entry& value, monotonic_time now);
    [[nodiscard]] static bool is_stale(const entry& value, monotonic_time now);

    const sending_process m_self;
    std::vector<sending_process> m_processes; ///< Including this one.
    std::unordered_map<endpoint_id, entry> m_entries;
};

} // namespace siskinwharf::dispatch
