#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/store_position.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/exchange/endpoint_limit_update.h"
#include "siskinwharf/exchange/packet_size.h"
#include "siskinwharf/exchange/part_crash_update.h"
#include "siskinwharf/exchange/quarantine_update.h"
#include "siskinwharf/exchange/stream_update.h"
#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::exchange {

/// Use of one account's quota, in the unit of the quota: requests or tokens.
struct account_use {
    account_id account;
    std::uint64_t in_window = 0;        ///< Admitted in the window of the quota.
    std::uint64_t per_second = 0;       ///< Current rate of what is admitted.
    std::uint64_t asked_per_second = 0; ///< Current rate of requests, including what was refused.
    milliseconds age{0};                ///< Time since the amounts were computed.

    auto operator<=>(const account_use&) const = default;
};

/// Load of one service.
struct service_demand {
    service_id service;
    std::uint64_t tokens_per_second = 0; ///< Prompt tokens of the callers' requests.
    std::uint32_t running = 0;           ///< Requests at endpoints.

    auto operator<=>(const service_demand&) const = default;
};

/// State of a forwarding process, which it sends to its peers several times a second in one datagram. Each
/// field replaces the value of the previous message, so a lost datagram needs no retransmission.
struct process_state {
    instance_id process;
    std::uint64_t start = 0;    ///< Random number that identifies the incarnation of the process.
    std::uint64_t sequence = 0; ///< Increases with each message of one incarnation.
    usage::wall_time wall{};    ///< Wall clock of the process.
    milliseconds uptime{0};
    configuration_position configuration;
    store_position list;     ///< Position of the endpoint list.
    milliseconds era_age{0}; ///< Time since the era of `list` is known to the process.
    std::uint16_t port = 0;  ///< Port of the HTTP interface for peers.
    bool is_leaving = false;
    std::uint64_t lease_number =
        0; ///< Fencing number if the process holds the lease of the duties, otherwise 0.
    failure_domain_id domain;
    std::vector<dispatch::endpoint_load> loads;
    std::vector<account_use> accounts;
    std::vector<service_demand> services;

    bool operator==(const process_state&) const = default;
};

/// Changes that peers of the same region receive without waiting for the next state: loads of endpoints,
/// because processes with an outdated state would all choose the same endpoint, and the versions that a
/// reader of the store has read. The next state makes up for a lost update.
struct near_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<dispatch::endpoint_load> loads; ///< Total load of the process at each endpoint listed.
    configuration_position configuration;
    store_position list;
    bool is_reading = false;          ///< The process reads the store's changes itself.
    milliseconds store_answer_age{0}; ///< Time since the store last answered. Valid if `is_reading`.

    bool operator==(const near_update&) const = default;
};

/// Usage counts, sent apart from the state so that each fits into one packet.
struct usage_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<usage::usage_entry> usage; ///< Process and start are those of the message.
    /// Empty for the counts of the sender alone; otherwise the counts are the sum over this failure domain.
    failure_domain_id domain;

    bool operator==(const usage_update&) const = default;
};

/// When a process was last seen to hold the lease of the duties.
struct lease_sighting {
    std::uint64_t number = 0; ///< Fencing number; 0: no holder has been seen.
    milliseconds age{0};

    auto operator<=>(const lease_sighting&) const = default;
};

/// Sums over the processes of one failure domain. Its relays send them to the relays of the other failure
/// domains, so that a process sends no message to each process of the deployment.
struct domain_report {
    instance_id process; ///< The relay.
    std::uint64_t start = 0;
    std::uint64_t sequence = 0; ///< Increases with each message of one incarnation.
    failure_domain_id domain;
    std::uint32_t processes = 0;
    double coverage = 0; ///< Fraction of the quota window, 0 to 1, for which the usage is known.
    std::vector<account_use> accounts;
    std::vector<service_demand> services;
    milliseconds counts_age{0}; ///< The relay has received all usage counts up to this time ago.
    lease_sighting lease;
    configuration_position configuration;
    store_position list;
    std::uint16_t port = 0; ///< Of the relay's HTTP interface for peers.

    bool operator==(const domain_report&) const = default;
};

/// Sums over all processes except the receiver, which a relay sends to each process of its failure domain.
struct deployment_report {
    instance_id process; ///< The relay.
    std::uint64_t start = 0;
    std::uint64_t sequence = 0; ///< Increases with each message of one incarnation.
    std::uint32_t processes = 0;
    double coverage = 0; ///< Fraction of the quota window, 0 to 1, for which the usage is known.
    std::vector<account_use> accounts;
    lease_sighting lease;

    bool operator==(const deployment_report&) const = default;
};

/// Use of the accounts that are close to their limit, which a relay sends between two of its reports. A
/// process that does not know this message ignores it.
struct use_update {
    instance_id process; ///< The relay.
    std::uint64_t start = 0;
    std::uint64_t sequence = 0; ///< Counts together with the reports of the relay.
    /// The sums are over the processes of this failure domain; empty: over all except the receiver.
    failure_domain_id domain;
    std::vector<account_use> accounts;

    bool operator==(const use_update&) const = default;
};

using message =
    std::variant<process_state, near_update, usage_update, domain_report, deployment_report, use_update,
                 part_crash_update, endpoint_limit_update, quarantine_update, stream_update, stream_query>;

/// Size of the receive buffer in bytes, close to the maximum of a UDP datagram over IPv4.
inline constexpr std::size_t largest_datagram = 60'000;

/// Maximum number of endpoint loads in one message, so that it fits into a packet.
inline constexpr std::size_t maximum_loads_per_message = 36;

/// Returns at most `maximum_loads_per_message` loads: those with the most waiting tokens, then those with the
/// most requests.
[[nodiscard]] std::vector<dispatch::endpoint_load> select_loads(std::vector<dispatch::endpoint_load> loads);

/// Splits usage counts into messages that each fit into a packet. `domain` is empty for the counts of one
/// process.
[[nodiscard]] std::vector<usage_update> usage_updates(const instance_id& process, std::uint64_t start,
                                                      const std::vector<usage::usage_entry>& entries,
                                                      const failure_domain_id& domain = failure_domain_id());

[[nodiscard]] std::string encode(const process_state& state);
[[nodiscard]] std::string encode(const near_update& update);
[[nodiscard]] std::string encode(const usage_update& update);
[[nodiscard]] std::string encode(const domain_report& report);
[[nodiscard]] std::string encode(const deployment_report& report);
[[nodiscard]] std::string encode(const use_update& update);
/// Throws `exchange_error` if the datagram is not the output of `encode`.
[[nodiscard]] message decode(std::string_view datagram);

} // namespace siskinwharf::exchange
