#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/cloud/table.h"
#include "siskinwharf/control/caller_history.h"
#include "siskinwharf/control/lease_record.h"

namespace siskinwharf::control {

/// Timing of the lease protocol. All entry processes must use the same values.
struct lease_settings {
    /// Validity of the lease from the time a write was sent. Also the least time between two calls of one
    /// instance if another one has made a call in between.
    nanoseconds duration = seconds(10);
    nanoseconds renew_after = seconds(3); ///< When the holder renews, from the time its last write was sent.
    nanoseconds poll_every = seconds(5);  ///< How often processes that do not hold the lease read its row.
    nanoseconds retry_after = seconds(1); ///< Wait after a failed table operation.
    /// Longest time from sending an order until it arrives at the endpoint.
    nanoseconds longest_order_delay = seconds(5);
    /// Largest difference in rate between the monotonic clocks of two processes, as a share of the measured
    /// time.
    double clock_drift = 0.01;
    /// Whether no process has run before this deployment's start, so that a missing row was never written.
    bool is_first_start = false;

    auto operator<=>(const lease_settings&) const = default;
};

/// Nothing to do before `wake_at`, or before the running table operation has ended.
struct lease_idle {
    monotonic_time wake_at;

    auto operator<=>(const lease_idle&) const = default;
};

/// Read the row `key` of the table and pass the answer to `read_done`.
struct lease_read {
    std::string key;

    auto operator<=>(const lease_read&) const = default;
};

/// Commit this transaction and pass the answer to `commit_done`.
struct lease_commit {
    cloud::table_transaction transaction;

    bool operator==(const lease_commit&) const = default;
};

/// What the caller of `lease_holder` has to do next.
using lease_action = std::variant<lease_idle, lease_read, lease_commit>;

/// Whether an order may be sent now.
enum class order_permission {
    permitted,
    not_holder,        ///< Another process holds the lease, or the holder is unknown.
    expired,           ///< The lease of this process has expired and was not renewed.
    too_little_time,   ///< The lease may expire before the order has been sent.
    table_unavailable, ///< The last table operation failed.
};

/// Returns the enumerator's name, or `unknown` for a value that is none.
[[nodiscard]] constexpr std::string_view to_string(order_permission permission)
{
    switch (permission) {
    case order_permission::permitted:
        return "permitted";
    case order_permission::not_holder:
        return "not_holder";
    case order_permission::expired:
        return "expired";
    case order_permission::too_little_time:
        return "too_little_time";
    case order_permission::table_unavailable:
        return "table_unavailable";
    }
    return "unknown";
}

/// Acquires, renews and releases the lease of a failure domain for one process, as a state machine without
/// I/O. The caller executes the action that `next` returns and passes the answer back; one table operation
/// runs at a time. Not thread-safe.
///
/// Two calls of one instance between which another instance may have made a call are at least the duration of
/// the lease apart, also across a restart: the record says when the instances before the holder made their
/// last calls, and an instance does not take the lease before this time has passed.
class lease_holder {
public:
    /// `holder` identifies this process as `<instance>#<start>`. A restarted process needs another start,
    /// because it does not know which orders were sent before the restart. No earlier process of the instance
    /// has run since `started`.
    lease_holder(const failure_domain_id& domain, std::string holder, const lease_settings& settings,
                 monotonic_time started);

    /// Returns the next action, or `lease_idle` while a table operation runs or none is due.
    [[nodiscard]] lease_action next(monotonic_time now);
    /// Handles the answer to a `lease_read`.
    void read_done(const cloud::read_result& result, monotonic_time now);
    /// Handles the answer to a `lease_commit`.
    void commit_done(const cloud::commit_result& result, monotonic_time now);

    /// Takes the era that the table's newest answer names. To be called before `next` and before an answer is
    /// passed on. When the era rises, the table has lost its newest writes: no other process may know of the
    /// lease that this one holds, and versions and fencing tokens of lost records are free again. The holder
    /// acquires the lease anew while it is still valid; others wait until no lease of before can be valid.
    void observe_era(std::uint64_t era, monotonic_time now);

    /// Reports that an endpoint has refused an order because it knows the higher fencing token `newer_token`,
    /// so another process has taken the lease over.
    void stale_token_seen(std::uint64_t newer_token);

    /// Reports that an order, or another call that needs the lease, is about to be sent.
    void call_started(monotonic_time now);
    /// Reports the end of the call that was started at `started`. Without a response it may arrive until the
    /// longest order delay has passed.
    void call_ended(monotonic_time started, bool is_answered, monotonic_time now);

    /// Releases the lease at the next call of `next` and never acquires it again. For a planned stop.
    void release();

    /// Whether an order may be sent now, if sending it takes up to `time_needed`.
    [[nodiscard]] order_permission permission(monotonic_time now, nanoseconds time_needed) const;

    /// Fencing token of this process, or nothing while it is not the holder.
    [[nodiscard]] std::optional<std::uint64_t> fencing() const;

    /// When the lease expires, counted from before the last successful write was sent.
    [[nodiscard]] monotonic_time valid_until() const { return m_valid_until; }

private:
    struct observed_row {
        std::uint64_t version = 0; ///< Version of the row; 0 if it is absent.
        lease_record record;
        monotonic_time unchanged_since;
    };

    void observe(const std::optional<cloud::table_row>& row, monotonic_time now);
    void record_holding(const observed_row& row);
    void become_observer();
    [[nodiscard]] bool holds() const { return m_holding; }
    [[nodiscard]] nanoseconds takeover_wait(const observed_row& row) const;
    /// `wait`, prolonged by the largest difference of two clocks.
    [[nodiscard]] nanoseconds with_drift(nanoseconds wait) const;
    [[nodiscard]] monotonic_time takeover_time(const observed_row& row) const;
    /// Calls that may have been made before a takeover of the row.
    [[nodiscard]] caller_history history_of(const observed_row& row) const;
    /// Until when a call of this instance can have arrived, also one from before a restart.
    [[nodiscard]] std::optional<monotonic_time> last_own_call(const caller_history& history) const;
    /// From when on this instance may make calls again.
    [[nodiscard]] monotonic_time return_time(const observed_row& row) const;
    [[nodiscard]] bool is_of_this_era(const observed_row& row) const;
    /// Whether the row is missing because no process has written it yet.
    [[nodiscard]] bool is_never_written(const observed_row& row) const;
    /// All fencing tokens of the present era are above this one, and those of earlier eras below.
    [[nodiscard]] std::uint64_t era_fencing() const;
    [[nodiscard]] std::uint64_t next_fencing() const;
    [[nodiscard]] lease_action write(lease_record record, monotonic_time now);
    [[nodiscard]] lease_action next_as_holder(monotonic_time now);
    [[nodiscard]] lease_action next_as_observer(monotonic_time now);
    [[nodiscard]] lease_action read(monotonic_time now);

    const std::string m_key;
    const std::string m_holder;
    const std::string m_instance;
    const lease_settings m_settings;
    const monotonic_time m_started;

    std::optional<observed_row> m_row;
    std::optional<std::uint64_t> m_era;
    monotonic_time m_no_takeover_before; ///< Leases of an earlier era may be valid until then.
    bool m_holding = false;
    bool m_is_carried_over = false; ///< The lease that this process holds is of an earlier era.
    bool m_operation_running = false;
    bool m_must_read = true;
    bool m_table_available = false;
    bool m_releasing = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_last_attempt = 0;
    monotonic_time m_valid_until;
    monotonic_time m_renew_at;
    monotonic_time m_wake_at;
    /// What this holder's records say of earlier calls.
    caller_history m_history;
    /// Until when the calls of this process that have ended can arrive.
    std::optional<monotonic_time> m_last_call;
    std::multiset<monotonic_time> m_running_calls; ///< Start times.
    /// Send times, by attempt, of the writes that may have taken or may still take effect.
    std::map<std::uint64_t, monotonic_time> m_sent_writes;
};

} // namespace siskinwharf::control
