#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/usage/synchronized_clock.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::exchange {

/// What a process has admitted for one account, in requests or tokens as the account's quota counts.
struct account_use {
    account_id account;
    std::uint64_t in_window = 0;        ///< In the window of the quota.
    std::uint64_t per_second = 0;       ///< In the last second.
    std::uint64_t asked_per_second = 0; ///< In the last second, including what was refused.

    auto operator<=>(const account_use&) const = default;
};

/// Work of one service at one process.
struct service_demand {
    service_id service;
    std::uint64_t tokens_per_second = 0; ///< Prompt tokens that the callers' requests ask to read.
    std::uint32_t running = 0;

    auto operator<=>(const service_demand&) const = default;
};

/// What a forwarding process tells its peers several times a second, in one datagram. Every part replaces
/// what the same process said before, so that lost datagrams need no repetition.
struct process_state {
    instance_id process;
    std::uint64_t start = 0;    ///< Random number of the process's start.
    std::uint64_t sequence = 0; ///< Rises with each message of one start.
    usage::wall_time wall{};    ///< The process's own clock.
    milliseconds uptime{0};
    std::uint64_t configuration_version = 0;
    std::uint64_t list_version = 0; ///< Of the list of endpoints.
    std::uint16_t port = 0;         ///< Of the HTTP interface for peers.
    bool is_leaving = false;
    std::uint64_t lease_number = 0; ///< Fencing number while the process holds the duties, otherwise 0.
    failure_domain_id domain;
    std::vector<dispatch::endpoint_load> loads;
    std::vector<account_use> accounts;
    std::vector<service_demand> services;
    std::vector<admission::quarantine_record> crashes;

    bool operator==(const process_state&) const = default;
};

/// What near peers are to know at once. What changed at endpoints: several processes that place requests by
/// an old state would choose the same one. And what a reader of the store has read, for those that rely on
/// it. A lost one is made good by the next message.
struct near_update {
    instance_id process;
    std::uint64_t start = 0;
    std::vector<dispatch::endpoint_load> loads; ///< All of the process's requests at the endpoints named.
    std::uint64_t configuration_version = 0;
    std::uint64_t list_version = 0;
    bool is_reading = false;          ///< The process reads the store's changes itself.
    milliseconds store_answer_age{0}; ///< Since the store last answered; counts while it is reading.

    bool operator==(const near_update&) const = default;
};

/// Counts of usage, apart from the state, so that neither needs more than one packet.
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
    std::uint64_t sequence = 0; ///< Rises with each message of one start.
    failure_domain_id domain;
    std::uint32_t processes = 0;
    double coverage = 0; ///< Fraction of the quota window, 0 to 1, for which the usage is known.
    std::vector<account_use> accounts;
    std::vector<service_demand> services;
    milliseconds counts_age{0}; ///< The relay has the counts of usage up to this time ago.
    lease_sighting lease;
    std::uint64_t configuration_version = 0;
    std::uint64_t list_version = 0;
    std::uint16_t port = 0; ///< Of the relay's HTTP interface for peers.

    bool operator==(const domain_report&) const = default;
};

/// Sums over all processes except the receiver, which a relay sends to each process of its failure domain.
struct deployment_report {
    instance_id process; ///< The relay.
    std::uint64_t start = 0;
    std::uint64_t sequence = 0; ///< Rises with each message of one start.
    std::uint32_t processes = 0;
    double coverage = 0; ///< Fraction of the quota window, 0 to 1, for which the usage is known.
    std::vector<account_use> accounts;
    lease_sighting lease;

    bool operator==(const deployment_report&) const = default;
};

using message = std::variant<process_state, near_update, usage_update, domain_report, deployment_report>;

/// Largest datagram in bytes that is read: what fits into one UDP datagram of IPv4.
inline constexpr std::size_t largest_datagram = 60'000;

/// Largest datagram in bytes that should be sent: a larger one is split into fragments, and is lost as a
/// whole with any of them.
inline constexpr std::size_t packet_size = 1'400;

/// Endpoints of which one message tells the load, so that it fits into a packet.
inline constexpr std::size_t most_told_loads = 36;

/// The loads that matter most to others: long waits, then many requests. At most `most_told_loads`.
[[nodiscard]] std::vector<dispatch::endpoint_load> told_loads(std::vector<dispatch::endpoint_load> loads);

/// Counts in messages that each fit into a packet. `domain` is empty for the counts of one process.
[[nodiscard]] std::vector<usage_update> usage_updates(const instance_id& process, std::uint64_t start,
                                                      const std::vector<usage::usage_entry>& entries,
                                                      const failure_domain_id& domain = failure_domain_id());

[[nodiscard]] std::string encode(const process_state& state);
[[nodiscard]] std::string encode(const near_update& update);
[[nodiscard]] std::string encode(const usage_update& update);
[[nodiscard]] std::string encode(const domain_report& report);
[[nodiscard]] std::string encode(const deployment_report& report);
/// Throws `exchange_error` for anything that `encode` does not produce.
[[nodiscard]] message decode(std::string_view datagram);

} // namespace siskinwharf::exchange
