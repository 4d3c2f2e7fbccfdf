#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::deployment {

/// What may be repeated about the requests of a route.
enum class request_kind {
    idempotent,
    non_idempotent,
    stream, ///< Server-sent events. May be repeated only on a resumable route.
};

/// One of the services among which a route divides its requests.
struct route_share {
    service_id service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_share&) const = default;
};

/// How requests of one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    milliseconds timeout{0};        ///< Longest time from the request to its whole answer. 0: no limit.
    milliseconds latency_target{0}; ///< To the answer, of streams to the first event. 0: no target.
    std::uint32_t rank = 0;         ///< 0 is served first.
    std::uint32_t maximum_attempts = 1;
    std::vector<route_share> shares; ///< Not empty.
    bool is_public = false;          ///< Needs no API key.
    bool is_resumable = false;       ///< A stream may be continued by another endpoint.
    bool has_prompt = false;         ///< Requests name the parts of their prompt.

    auto operator<=>(const route&) const = default;
};

/// What a model engine can hold. The same for all engines of a service.
struct engine_profile {
    std::uint32_t slots = 0;
    std::uint64_t cache_tokens = 0; ///< Memory for running requests and cached prompt parts.
    std::uint32_t tokens_per_event = 1;

    auto operator<=>(const engine_profile&) const = default;
};

/// Bounds on the number of endpoints of a service in each failure domain, and what they cost.
struct scaling_profile {
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    milliseconds start_time{0};
    double reclaimable_price = 1; ///< Share of the price of an on-demand endpoint.
    std::map<failure_domain_id, double> prices;

    bool operator==(const scaling_profile&) const = default;
};

struct service {
    service_id id;
    std::uint32_t maximum_connections = 0; ///< Of one endpoint, from all processes together. 0: not known.
    std::optional<engine_profile> engine;
    std::optional<scaling_profile> scaling;

    bool operator==(const service&) const = default;
};

/// A client account with its keys and quota.
struct account {
    account_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank; ///< Goes before the rank of a route.
    bool counts_tokens = false;        ///< The quota is in tokens instead of requests.
    double quota_per_second = 0;       ///< 0: no limit.
    double quota_burst = 0;
    std::uint64_t default_tokens = 1; ///< Of a request that does not say how many it needs.

    bool operator==(const account&) const = default;
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    auto operator<=>(const caller_limits&) const = default;
};

/// The parts of a snapshot, as an adapter reads them.
struct snapshot_content {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<account> accounts;
    caller_limits limits;

    bool operator==(const snapshot_content&) const = default;
};

/// One version of the deployment's configuration. Immutable, with indexes for the path of a request.
class snapshot {
public:
    explicit snapshot(snapshot_content content);

    [[nodiscard]] std::uint64_t version() const { return m_content.version; }
    [[nodiscard]] const snapshot_content& content() const { return m_content; }

    /// The route of this host with the longest prefix of `path`, or null.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds this key, or null.
    [[nodiscard]] const account* find_account(std::string_view key) const;
    [[nodiscard]] const account* find_account(const account_id& id) const;
    [[nodiscard]] const service* find_service(const service_id& id) const;
    /// Position of this rank among the ranks of all routes and accounts: 0 for the most urgent one.
    [[nodiscard]] std::size_t urgency(std::uint32_t rank) const;
    /// Whether an account has a quota.
    [[nodiscard]] bool has_quotas() const { return m_has_quotas; }

private:
    snapshot_content m_content;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_of_host; ///< Longest prefix first.
    std::unordered_map<std::string, std::size_t> m_account_of_key;
    std::map<account_id, std::size_t> m_accounts;
    std::map<service_id, std::size_t> m_services;
    std::vector<std::uint32_t> m_ranks;
    bool m_has_quotas = false;
};

/// The service that gets this request. `choice` is a hash of the request, so that a repeated request goes to
/// the same service.
[[nodiscard]] const service_id& choose_service(const route& from, std::uint64_t choice);

} // namespace siskinwharf::deployment
