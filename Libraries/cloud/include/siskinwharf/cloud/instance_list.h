#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::cloud {

/// The instance runs an entry process.
struct serves_entry {
    auto operator<=>(const serves_entry&) const = default;
};

/// The instance runs a model engine.
struct serves_model {
    model_id model;
    std::string version;

    auto operator<=>(const serves_model&) const = default;
};

/// The instance runs a service other than a model engine.
struct serves_service {
    service_id service;

    auto operator<=>(const serves_service&) const = default;
};

/// What an instance runs.
using served_workload = std::variant<serves_entry, serves_model, serves_service>;

/// Entry of the instance list for one instance. The list may lag behind the actual state.
struct instance_record {
    instance_id id;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t peer_port = 0; ///< Port for peers; set for entry processes.
    failure_domain_id domain;
    region_id region;
    bool leaving = false;
    std::uint64_t started_ms = 0; ///< Since the epoch. A higher value is a newer instance with the same id.
    served_workload serves;
    std::uint32_t capacity = 0;
    std::string machine_class;
    std::uint64_t price_microcents_per_second = 0;
    bool reclaimable = false;
    std::optional<milliseconds> leaves_in; ///< Time until a reclaimed instance is gone.

    auto operator<=>(const instance_record&) const = default;
};

/// The platform did not answer, or its answer was an error or malformed.
struct list_unavailable {
    auto operator<=>(const list_unavailable&) const = default;
};

/// The list has not changed since the version whose tag the caller passed.
struct list_unchanged {
    auto operator<=>(const list_unchanged&) const = default;
};

/// The whole list and the platform's tag for it, which is empty if the platform gives none.
struct listed_instances {
    std::vector<instance_record> records;
    std::string tag;

    auto operator<=>(const listed_instances&) const = default;
};

/// Result of `instance_list::read`.
using list_result = std::variant<listed_instances, list_unchanged, list_unavailable>;

/// Interface to the platform's list of live and leaving instances.
class instance_list {
public:
    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    instance_list(instance_list&&) = delete;
    instance_list& operator=(instance_list&&) = delete;
    virtual ~instance_list() = default;

    /// Reads the list unless its tag still equals `known_tag`. An empty tag reads it unconditionally.
    virtual boost::asio::awaitable<list_result> read(std::string known_tag) = 0;
};

} // namespace siskinwharf::cloud
