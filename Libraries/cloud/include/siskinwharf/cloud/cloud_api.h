#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::cloud {

/// Whether the cloud may reclaim an instance at any time.
enum class purchase_kind { reclaimable, on_demand };

/// Returns the name of `kind` in the cloud API.
[[nodiscard]] std::string_view to_string(purchase_kind kind);

/// Instances of one machine class that can be started in one failure domain.
struct cloud_offer {
    std::string machine_class;
    failure_domain_id domain;
    purchase_kind kind = purchase_kind::reclaimable;
    std::uint64_t price_microcents_per_second = 0; ///< Of one instance.
    std::uint32_t capacity = 0;                    ///< Streams that one instance serves at once.

    auto operator<=>(const cloud_offer&) const = default;
};

/// Request to start one instance. It is idempotent: a retry with the same client token starts no second one.
struct start_request {
    std::string machine_class;
    failure_domain_id domain;
    purchase_kind kind = purchase_kind::reclaimable;
    std::string client_token; ///< Must not be empty.

    auto operator<=>(const start_request&) const = default;
};

/// State of an instance as the cloud API reports it.
enum class cloud_instance_state { starting, running, leaving, ended };

/// An instance that was started through the cloud API.
struct cloud_instance {
    instance_id id;
    std::string machine_class;
    failure_domain_id domain;
    purchase_kind kind = purchase_kind::reclaimable;
    std::string client_token;
    cloud_instance_state state = cloud_instance_state::starting;

    auto operator<=>(const cloud_instance&) const = default;
};

/// Announcement that the cloud will reclaim an instance.
struct reclaim_notice {
    std::uint64_t sequence = 0;
    instance_id id;
    milliseconds leaves_in{0}; ///< Counted from the answer; 0 if the instance is already gone.

    auto operator<=>(const reclaim_notice&) const = default;
};

/// Notices after a sequence number. The next request passes `last` as its `after`.
struct notice_page {
    std::vector<reclaim_notice> notices;
    std::uint64_t last = 0;

    auto operator<=>(const notice_page&) const = default;
};

/// A read failed, or a change definitely had no effect and will have none.
struct cloud_unavailable {
    auto operator<=>(const cloud_unavailable&) const = default;
};

/// The request was sent but its outcome is unknown: it may have taken effect, or may still do so.
struct cloud_uncertain {
    auto operator<=>(const cloud_uncertain&) const = default;
};

/// Reason for which the cloud API rejects a request.
enum class cloud_refusal { no_capacity, no_such_offer, no_such_instance };

/// Returns the name of `refusal`, such as `no_capacity`.
[[nodiscard]] std::string_view to_string(cloud_refusal refusal);

/// The cloud API rejected the request without effect.
struct cloud_refused {
    cloud_refusal reason = cloud_refusal::no_capacity;

    auto operator<=>(const cloud_refused&) const = default;
};

/// The instance is stopped. Stopping is idempotent.
struct cloud_stopped {
    auto operator<=>(const cloud_stopped&) const = default;
};

/// Result of `cloud_api::offers`.
using offers_result = std::variant<std::vector<cloud_offer>, cloud_unavailable>;
/// Result of `cloud_api::instances`.
using instances_result = std::variant<std::vector<cloud_instance>, cloud_unavailable>;
/// Result of `cloud_api::notices`.
using notices_result = std::variant<notice_page, cloud_unavailable>;
/// Result of `cloud_api::start`: the started instance, or why there is none.
using start_result = std::variant<cloud_instance, cloud_unavailable, cloud_uncertain, cloud_refused>;
/// Result of `cloud_api::stop`.
using stop_result = std::variant<cloud_stopped, cloud_unavailable, cloud_uncertain, cloud_refused>;

/// Interface to the platform's cloud API. Implementations bound each call by a timeout.
class cloud_api {
public:
    cloud_api() = default;
    cloud_api(const cloud_api&) = delete;
    cloud_api& operator=(const cloud_api&) = delete;
    cloud_api(cloud_api&&) = delete;
    cloud_api& operator=(cloud_api&&) = delete;
    virtual ~cloud_api() = default;

    /// Reads the offers of all machine classes and failure domains.
    virtual boost::asio::awaitable<offers_result> offers() = 0;
    /// Reads the instances that were started through the cloud API.
    virtual boost::asio::awaitable<instances_result> instances() = 0;
    /// Starts one instance. After `cloud_uncertain` the caller may retry with the same client token.
    virtual boost::asio::awaitable<start_result> start(start_request request) = 0;
    /// Stops an instance. After `cloud_uncertain` the caller may retry.
    virtual boost::asio::awaitable<stop_result> stop(instance_id id) = 0;
    /// Reads the notices with a sequence number above `after`.
    virtual boost::asio::awaitable<notices_result> notices(std::uint64_t after) = 0;
};

} // namespace siskinwharf::cloud
