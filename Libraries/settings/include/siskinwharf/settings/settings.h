#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/settings/socket_address.h"

namespace siskinwharf::settings {

/// How an endpoint is chosen for a request.
enum class routing_policy { prefix_affinity, round_robin, least_in_flight };

/// The name of a policy as used in the settings.
[[nodiscard]] std::string_view to_string(routing_policy policy);

/// Where the process listens.
struct listen_settings {
    socket_address callers; ///< HTTP/1.1, with TLS if it is configured.
    socket_address peers;   ///< The same address for TCP and UDP.
    socket_address admin;   ///< HTTP/1.1: readiness, metrics, status.

    auto operator<=>(const listen_settings&) const = default;
};

/// Certificate chain and private key of the caller's listener, as paths of PEM files.
struct tls_settings {
    std::string certificate;
    std::string private_key;

    auto operator<=>(const tls_settings&) const = default;
};

/// Limits towards callers.
struct limit_settings {
    std::uint64_t max_body_bytes = 1024UL * 1024;
    milliseconds header_timeout{5'000};
    std::uint32_t queue_length_per_account = 256;
    /// Memory that the process may take altogether. A part of it bounds the requests in progress.
    std::uint64_t memory_bytes = 1'024'000'000;

    auto operator<=>(const limit_settings&) const = default;
};

/// Settings of one entry process. docs/settings.md describes each key.
struct settings {
    instance_id instance;
    failure_domain_id failure_domain;
    region_id region;
    listen_settings listen;
    std::vector<socket_address> peer_seeds;
    /// Where peers reach this process, if not at `listen.peers`.
    std::optional<socket_address> advertised_to_peers;
    std::string peer_key; ///< 32 raw bytes; authenticates messages between entry processes.
    socket_address platform;
    std::uint32_t threads = 2;
    routing_policy policy = routing_policy::prefix_affinity;
    /// Weight of recomputed tokens against cost: 0 looks at cost only, 1 at recomputed tokens only.
    double recomputed_token_weight = 0.5;
    std::optional<tls_settings> tls;
    limit_settings limits;
    milliseconds stop_timeout{120'000};
    milliseconds lease_duration{10'000};

    auto operator<=>(const settings&) const = default;
};

/// Largest settings text in bytes.
inline constexpr std::size_t max_settings_bytes = 64UL * 1024;

/// Reads settings in TOML. Throws `settings_error` with every fault: syntax, unknown keys, missing keys,
/// wrong types and values out of range. After a fault of the syntax nothing else can be checked.
[[nodiscard]] settings load_settings(std::string_view text);

} // namespace siskinwharf::settings
