#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/deployment/snapshot.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::forwarding {

/// The store did not answer, or refused the call.
class store_unavailable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The store no longer has the changes that were asked for.
class history_lost : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A configuration or an entry cannot be understood.
class invalid_entry : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// An endpoint entry as it is stored. `record` is missing for an entry that names no usable endpoint.
struct stored_endpoint {
    endpoint_id id;
    std::string text;
    std::optional<dispatch::endpoint_record> record;
    bool is_removed = false;
};

/// The whole list of endpoints, or what changed.
struct endpoint_changes {
    std::vector<stored_endpoint> endpoints;
    std::uint64_t version = 0; ///< Of the store; further changes come after it.
};

/// A configuration, if the store has one, and the store's version.
struct stored_configuration {
    std::optional<std::string> text;
    std::uint64_t version = 0;
};

/// Another forwarding process, as it has registered itself.
struct registered_process {
    instance_id id;
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const registered_process&) const = default;
};

/// How long the store holds a call that waits for changes, at most. With the time for its answer less than
/// the four seconds after which the operators count on a store that was away: a call that it left unanswered
/// must have been given up by then.
inline constexpr milliseconds maximum_long_poll_time{2'000};

/// Port to what the platform's store says about the deployment. Each call throws `store_unavailable`.
class deployment_store {
public:
    deployment_store() = default;
    deployment_store(const deployment_store&) = delete;
    deployment_store& operator=(const deployment_store&) = delete;
    deployment_store(deployment_store&&) = delete;
    deployment_store& operator=(deployment_store&&) = delete;
    virtual ~deployment_store() = default;

    virtual boost::asio::awaitable<stored_configuration> read_configuration() = 0;
    virtual boost::asio::awaitable<endpoint_changes> read_endpoints() = 0;
    /// Wait until there is something newer than `after`, or for `wait`. Throw `history_lost` too.
    virtual boost::asio::awaitable<stored_configuration> next_configuration(std::uint64_t after,
                                                                            milliseconds wait) = 0;
    virtual boost::asio::awaitable<endpoint_changes> next_endpoints(std::uint64_t after,
                                                                    milliseconds wait) = 0;

    virtual boost::asio::awaitable<std::vector<registered_process>> read_processes() = 0;
    virtual boost::asio::awaitable<void> register_process(registered_process self) = 0;

    /// Throws `invalid_entry`.
    [[nodiscard]] virtual deployment::snapshot_content
    decode_configuration(const std::string& text) const = 0;
    [[nodiscard]] virtual stored_endpoint decode_endpoint(const endpoint_id& id,
                                                          const std::string& text) const = 0;
};

} // namespace siskinwharf::forwarding
