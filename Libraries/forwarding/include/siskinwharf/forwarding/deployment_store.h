#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/store_position.h"
#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::forwarding {

/// Thrown when the store did not answer or rejected the call.
class store_unavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown when the store no longer keeps the requested changes, so that the whole state must be read again.
class history_lost : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown when a configuration or an endpoint entry cannot be decoded.
class invalid_entry : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// An endpoint entry of the store. `record` is missing if the entry does not describe a usable endpoint.
struct stored_endpoint {
    endpoint_id id;
    std::string text; ///< The entry as it is stored.
    std::optional<dispatch::endpoint_record> record;
    bool is_removed = false; ///< The entry was deleted from the store.
};

/// The whole list of endpoints, or the entries that changed.
struct endpoint_changes {
    std::vector<stored_endpoint> endpoints;
    store_position position; ///< Of the store when it was read; later changes have higher positions.
};

/// The text of the stored configuration, if there is one, and the position of the store when it was read.
struct stored_configuration {
    std::optional<std::string> text;
    store_position position;
};

/// An entry process, which forwards requests to endpoints, as registered in the store: its id, the address
/// under which its peers reach it and its failure domain.
struct registered_process {
    instance_id id;
    std::string ip;
    std::uint16_t port = 0;
    failure_domain_id domain;
    std::uint64_t start = 0; ///< Random number that identifies the incarnation of the process.

    auto operator<=>(const registered_process&) const = default;
};

/// A registration as it was read. A process renews its own; one that is not renewed expires.
struct process_registration {
    registered_process process;
    std::uint64_t version = 0; ///< Of its row; a renewal changes it.
    milliseconds valid_for{0}; ///< From the read until it expires; 0 or less if it has expired.

    auto operator<=>(const process_registration&) const = default;
};

/// Maximum time for which the store holds a long poll. Together with the response time it must stay below
/// four seconds: operators expect a store to be used again four seconds after an outage, so that a call which
/// the store left unanswered must have timed out by then.
inline constexpr milliseconds maximum_long_poll_time{2'000};

/// Maximum number of registrations that are removed in one call. The store takes 100 entries in a call, and
/// each removal is two: the row and the version that it must have.
inline constexpr std::size_t maximum_removed_registrations = 50;

/// Interface to the platform's store of the configuration, the endpoints and the entry processes. Each
/// asynchronous call may throw `store_unavailable`.
class deployment_store {
public:
    deployment_store() = default;
    deployment_store(const deployment_store&) = delete;
    deployment_store& operator=(const deployment_store&) = delete;
    deployment_store(deployment_store&&) = delete;
    deployment_store& operator=(deployment_store&&) = delete;
    virtual ~deployment_store() = default;

    /// Newest era that an answer of the store has named; 0 if none has.
    [[nodiscard]] virtual std::uint64_t era() const = 0;
    virtual boost::asio::awaitable<stored_configuration> read_configuration() = 0;
    /// Reads the whole list of endpoints.
    virtual boost::asio::awaitable<endpoint_changes> read_endpoints() = 0;
    /// Long poll: waits up to `wait` for a configuration newer than store version `after`. May throw
    /// `history_lost`.
    virtual boost::asio::awaitable<stored_configuration> next_configuration(std::uint64_t after,
                                                                            milliseconds wait) = 0;
    /// Long poll: waits up to `wait` for endpoint changes after store version `after`. May throw
    /// `history_lost`.
    virtual boost::asio::awaitable<endpoint_changes> next_endpoints(std::uint64_t after,
                                                                    milliseconds wait) = 0;

    /// Reads the registrations of entry processes, expired ones too.
    virtual boost::asio::awaitable<std::vector<process_registration>> read_processes() = 0;
    /// Registers the calling process, so that other processes find it, or renews its registration.
    virtual boost::asio::awaitable<void> register_process(registered_process self,
                                                          milliseconds valid_for) = 0;
    /// Removes the registration of the calling process, unless a later incarnation has registered.
    virtual boost::asio::awaitable<void> withdraw_process(registered_process self) = 0;
    /// Removes registrations, at most `maximum_removed_registrations`, unless one of them was renewed since.
    virtual boost::asio::awaitable<void> remove_processes(std::vector<process_registration> expired) = 0;

    /// Decodes the text of a configuration. Throws `invalid_entry`.
    [[nodiscard]] virtual deployment::snapshot_content
    decode_configuration(const std::string& text) const = 0;
    /// Decodes the text of an endpoint entry.
    [[nodiscard]] virtual stored_endpoint decode_endpoint(const endpoint_id& id,
                                                          const std::string& text) const = 0;
};

} // namespace siskinwharf::forwarding
