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

/// Kind of the requests of a route, which determines whether they may be retried.
enum class request_kind {
    idempotent,
    non_idempotent,
    stream, ///< The response is a stream of server-sent events. May be retried only on a resumable route.
};

/// One of the services among which a route splits its requests, with its weight.
struct route_share {
    service_id service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_share&) const = default;
};

/// Determines how requests for one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    milliseconds timeout{0}; ///< Maximum time from the request to the end of the response. 0: no limit.
    milliseconds latency_target{0}; ///< Time to the response, for streams to the first event. 0: no target.
    std::uint32_t rank = 0;         ///< Priority; 0 is served first.
    std::uint32_t maximum_attempts = 1; ///< Attempts for one request, including the first.
    std::vector<route_share> shares;    ///< Not empty.
    bool is_public = false;             ///< Requests need no API key.
    bool is_resumable = false;          ///< A stream may be continued by another endpoint.
    bool has_prompt = false;            ///< Requests list the parts of their prompt.

    auto operator<=>(const route&) const = default;
};

/// Capacity of a model engine, the same for all engines of a service.
struct engine_profile {
    std::uint32_t slots = 0;            ///< Requests that run at the same time.
    std::uint64_t cache_tokens = 0;     ///< Memory for running requests and cached prompt parts, in tokens.
    std::uint32_t tokens_per_event = 1; ///< Tokens in each event of a stream.

    auto operator<=>(const engine_profile&) const = default;
};

/// Bounds on the number of endpoints of a service in each failure domain, and the cost of an endpoint.
struct scaling_profile {
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    milliseconds start_time{0};   ///< Time that an endpoint takes to start.
    double reclaimable_price = 1; ///< Price of a reclaimable endpoint as a fraction of the on-demand price.
    std::map<failure_domain_id, double> prices; ///< Price of an endpoint in each failure domain.

    bool operator==(const scaling_profile&) const = default;
};

/// A service: a group of endpoints that serve the same requests.
struct service {
    service_id id;
    std::uint32_t maximum_connections = 0;  ///< To one endpoint from all processes together. 0: unknown.
    std::optional<engine_profile> engine;   ///< Set if the endpoints are model engines.
    std::optional<scaling_profile> scaling; ///< Set if the service is scaled automatically.

    bool operator==(const service&) const = default;
};

/// A client account with its API keys and quota.
struct account {
    account_id id;
    std::vector<std::string> keys;     ///< An empty text is no key.
    std::optional<std::uint32_t> rank; ///< Priority; takes precedence over the rank of a route.
    bool counts_tokens = false;        ///< The quota is counted in tokens instead of requests.
    double quota_per_second = 0;       ///< 0: no limit.
    double quota_burst = 0;            ///< Amount allowed in addition to the rate.
    std::uint64_t default_tokens = 1;  ///< Tokens counted for a request that does not state its number.

    bool operator==(const account&) const = default;
};

/// Limits on the requests of clients.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000}; ///< Maximum time without data on a connection.

    auto operator<=>(const caller_limits&) const = default;
};

/// Who may send requests to the routes that are not public.
enum class caller_access {
    holders_of_keys, ///< Only callers with a key of one of the accounts; nobody if there are none.
    everyone,        ///< The configuration asks for no keys.
};

/// Contents of a snapshot, as read by the platform's adapter.
struct snapshot_content {
    std::uint64_t version = 0; ///< Version of the configuration.
    std::vector<route> routes;
    std::vector<service> services;
    caller_access access = caller_access::holders_of_keys;
    std::vector<account> accounts;
    caller_limits limits;

    bool operator==(const snapshot_content&) const = default;
};

/// One version of the deployment's configuration. It is immutable and has indexes for the lookups of a
/// request.
class snapshot {
public:
    explicit snapshot(snapshot_content content);

    [[nodiscard]] std::uint64_t version() const { return m_content.version; }
    [[nodiscard]] const snapshot_content& content() const { return m_content; }

    /// The route of this host whose path prefix is the longest that matches `path`, or null.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds this key, or null.
    [[nodiscard]] const account* find_account(std::string_view key) const;
    /// Whether a request on this route may be sent without a key.
    [[nodiscard]] bool is_open(const route& route) const;
    /// The account with this id, or null.
    [[nodiscard]] const account* find_account(const account_id& id) const;
    /// The service with this id, or null.
    [[nodiscard]] const service* find_service(const service_id& id) const;
    /// Position of this rank among the distinct ranks of all routes and accounts; 0 is the most urgent.
    [[nodiscard]] std::size_t urgency(std::uint32_t rank) const;
    /// Whether any account has a quota.
    [[nodiscard]] bool has_quotas() const { return m_has_quotas; }

private:
    snapshot_content m_content;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_of_host; ///< Longest prefix first.
    std::unordered_map<std::string, std::size_t> m_account_of_key;
    std::map<account_id, std::size_t> m_accounts;
    std::map<service_id, std::size_t> m_services;
    std::vector<std::uint32_t> m_ranks; ///< Distinct ranks of all routes and accounts, ascending.
    bool m_has_quotas = false;
};

/// Selects the service for a request by the weights of the route. `request_hash` is a hash of the request, so
/// that a retried request goes to the same service.
[[nodiscard]] const service_id& choose_service(const route& from, std::uint64_t request_hash);

} // namespace siskinwharf::deployment
