#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/control/lease_holder.h"
#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::control {

/// What an endpoint is to be. Orders carry it as a whole, so that each can be repeated.
struct endpoint_configuration {
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    /// Of a configuration that was read back: the model or an adapter is not loaded yet.
    bool loading = false;

    bool operator==(const endpoint_configuration&) const = default;
};

/// Send this order and pass the answer to `order_done`.
struct send_order {
    endpoint_id endpoint;
    std::uint64_t fencing = 0;
    endpoint_configuration wanted;

    bool operator==(const send_order&) const = default;
};

/// Ask the endpoint for its configuration and pass it to `configuration_read`.
struct read_back {
    endpoint_id endpoint;

    bool operator==(const read_back&) const = default;
};

using order_action = std::variant<send_order, read_back>;

/// The endpoint took the order. Whether it is in force is seen by reading back.
struct order_accepted {};
/// The endpoint knows a higher fencing token.
struct order_refused_stale {
    std::uint64_t newer_token = 0;
};
/// The endpoint cannot do what was ordered.
struct order_refused {};
/// No answer: the order may be in force, or may still arrive.
struct order_uncertain {};

using order_result = std::variant<order_accepted, order_refused_stale, order_refused, order_uncertain>;

struct order_settings {
    nanoseconds time_to_send = seconds(1); ///< Lease time that must be left for an order.
    nanoseconds longest_order_delay = seconds(5);
    nanoseconds first_retry = seconds(2); ///< After a refusal; doubles with each further one.
    nanoseconds longest_retry = seconds(120);
    /// How often a configuration in force is read back. An endpoint that ignores the token may take a delayed
    /// order of an earlier holder at any time, so it is read back more often.
    nanoseconds check_every = seconds(60);
    nanoseconds check_every_unfenced = seconds(5);
    /// How often an endpoint is read back that loads, or whose order is held back.
    nanoseconds check_progress_every = milliseconds(500);
    std::size_t orders_in_flight = 8;

    auto operator<=>(const order_settings&) const = default;
};

/// Turns the wanted configurations of a failure domain's endpoints into orders. The caller executes the
/// actions that `plan` returns. Not thread-safe.
class order_planner {
public:
    explicit order_planner(const order_settings& settings) : m_settings(settings) {}

    /// Sets what an endpoint is to be. The configuration it has is unknown until it was read back.
    void set_wanted(const endpoint_id& endpoint, endpoint_configuration wanted,
                    sheet::fencing_support support);
    /// Whether orders may be sent to the endpoint. Without a call they may; an endpoint whose order is held
    /// back is still read back.
    void set_permitted(const endpoint_id& endpoint, bool may_order);
    void forget(const endpoint_id& endpoint) { m_endpoints.erase(endpoint.value()); }

    /// Orders and read-backs that are due. Empty while the lease permits no orders. Time passes between this
    /// call and the send, so the caller asks `lease.permission` again immediately before it sends.
    [[nodiscard]] std::vector<order_action> plan(const lease_holder& lease, monotonic_time now);

    /// Takes in the answer to an order. A stale token is passed on to the lease.
    void order_done(const endpoint_id& endpoint, const order_result& result, lease_holder& lease,
                    monotonic_time now);

    /// Takes in a configuration that was read back, or nothing if the endpoint did not answer.
    void configuration_read(const endpoint_id& endpoint,
                            const std::optional<endpoint_configuration>& configuration, monotonic_time now);

    /// Whether the endpoint had the wanted configuration when it was last read back.
    [[nodiscard]] bool in_force(const endpoint_id& endpoint) const;

    /// The configuration that was last read back by this holder, or nothing if it is not known.
    [[nodiscard]] std::optional<endpoint_configuration> present(const endpoint_id& endpoint) const;

    /// How often a configuration that had been in force was found changed.
    [[nodiscard]] std::uint64_t corrections() const { return m_corrections; }

private:
    struct endpoint_state {
        endpoint_configuration wanted;
        sheet::fencing_support support = sheet::fencing_support::checked;
        std::optional<endpoint_configuration> present;
        bool permitted = true;
        bool matches = false;   ///< What was read back is what is wanted.
        bool differs = false;   ///< What was read back is something else.
        bool in_flight = false; ///< An order was sent and has no answer yet.
        bool reading = false;
        bool withheld = false; ///< An order is due but not permitted.
        nanoseconds retry_delay{0};
        monotonic_time due; ///< Next action not before this time.
    };

    void plan_endpoint(const std::string& name, endpoint_state& state, std::uint64_t fencing,
                       monotonic_time now, std::vector<order_action>& actions);
    [[nodiscard]] std::size_t in_flight() const;

    const order_settings m_settings;
    std::map<std::string, endpoint_state> m_endpoints; // By endpoint id, for a repeatable order.
    std::optional<std::uint64_t> m_planned_fencing;
    std::uint64_t m_corrections = 0;
};

} // namespace siskinwharf::control
