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

/// Configuration of an endpoint. Each order carries all of it, so that orders are idempotent.
struct endpoint_configuration {
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    /// The model or an adapter is not loaded yet. Set only in a configuration that was read back.
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

/// What the caller of `order_planner` has to do.
using order_action = std::variant<send_order, read_back>;

/// The endpoint has accepted the order. Reading back shows when the configuration is in force.
struct order_accepted {};
/// The endpoint has refused the order because it knows a higher fencing token.
struct order_refused_stale {
    std::uint64_t newer_token = 0;
};
/// The endpoint has refused the order because it cannot carry it out.
struct order_refused {};
/// No answer was received: the order may have taken effect, may still arrive, or is lost.
struct order_uncertain {};

/// Outcome of an order.
using order_result = std::variant<order_accepted, order_refused_stale, order_refused, order_uncertain>;

/// Settings of `order_planner`.
struct order_settings {
    nanoseconds time_to_send = seconds(1); ///< Remaining lease time that sending an order requires.
    /// Longest time from sending an order until it arrives at the endpoint.
    nanoseconds longest_order_delay = seconds(5);
    /// Delay before the next action after a refused order or a failed read-back; doubles with each further
    /// one.
    nanoseconds first_retry = seconds(2);
    nanoseconds longest_retry = seconds(120);
    /// How often a configuration in force is read back. An endpoint that ignores fencing tokens may accept a
    /// delayed order of an earlier holder at any time, so it is read back more often.
    nanoseconds check_every = seconds(60);
    nanoseconds check_every_unfenced = seconds(5);
    /// How often an endpoint is read back while it is loading or its order is withheld.
    nanoseconds check_progress_every = milliseconds(500);
    std::size_t orders_in_flight = 8; ///< Most orders that are sent and not answered at a time.

    auto operator<=>(const order_settings&) const = default;
};

/// Reconciles the endpoints of a failure domain with their wanted configurations by orders and read-backs.
/// The caller executes the actions that `plan` returns. Not thread-safe.
class order_planner {
public:
    explicit order_planner(const order_settings& settings) : m_settings(settings) {}

    /// Sets the wanted configuration of an endpoint. Its present one is unknown until it has been read back.
    void set_wanted(const endpoint_id& endpoint, endpoint_configuration wanted,
                    sheet::fencing_support support);
    /// Sets whether orders may be sent to the endpoint, which is the default. An endpoint whose order is
    /// withheld is still read back.
    void set_permitted(const endpoint_id& endpoint, bool may_order);
    /// Removes the endpoint; it gets no further orders or read-backs.
    void forget(const endpoint_id& endpoint) { m_endpoints.erase(endpoint.value()); }

    /// Returns the orders and read-backs that are due; none while the lease permits no orders. Time passes
    /// between this call and the send, so the caller must check `lease.permission` again immediately before
    /// sending.
    [[nodiscard]] std::vector<order_action> plan(const lease_holder& lease, monotonic_time now);

    /// Handles the outcome of an order. A stale fencing token is reported to the lease.
    void order_done(const endpoint_id& endpoint, const order_result& result, lease_holder& lease,
                    monotonic_time now);

    /// Handles a configuration that was read back, or nothing if the endpoint did not answer.
    void configuration_read(const endpoint_id& endpoint,
                            const std::optional<endpoint_configuration>& configuration, monotonic_time now);

    /// Whether the endpoint had the wanted configuration when it was last read back.
    [[nodiscard]] bool in_force(const endpoint_id& endpoint) const;

    /// The configuration that was last read back under the present lease, or nothing if it is unknown.
    [[nodiscard]] std::optional<endpoint_configuration> present(const endpoint_id& endpoint) const;

    /// How often a read-back has found that a configuration in force had been changed.
    [[nodiscard]] std::uint64_t corrections() const { return m_corrections; }

private:
    struct endpoint_state {
        endpoint_configuration wanted;
        sheet::fencing_support support = sheet::fencing_support::checked;
        std::optional<endpoint_configuration> present;
        bool permitted = true;
        bool matches = false;   ///< The configuration read back is the wanted one.
        bool differs = false;   ///< The configuration read back is not the wanted one.
        bool in_flight = false; ///< An order was sent and has no answer yet.
        bool reading = false;   ///< A read-back was requested and has no answer yet.
        bool withheld = false;  ///< An order is due but not permitted.
        nanoseconds retry_delay{0};
        monotonic_time due; ///< Earliest time of the next action.
    };

    void plan_endpoint(const std::string& name, endpoint_state& state, std::uint64_t fencing,
                       monotonic_time now, std::vector<order_action>& actions);
    [[nodiscard]] std::size_t in_flight() const;

    const order_settings m_settings;
    std::map<std::string, endpoint_state> m_endpoints; // By endpoint id, in a deterministic order.
    std::optional<std::uint64_t> m_planned_fencing;
    std::uint64_t m_corrections = 0;
};

} // namespace siskinwharf::control
