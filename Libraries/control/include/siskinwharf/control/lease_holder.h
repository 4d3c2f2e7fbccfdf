#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/cloud/table.h"
#include "siskinwharf/control/lease_record.h"

namespace siskinwharf::control {

/// Times of the lease protocol. They must be equal in all entry processes.
struct lease_settings {
    nanoseconds duration = seconds(10);
    nanoseconds renew_after = seconds(3);
    nanoseconds poll_every = seconds(5);  ///< How often others read the row.
    nanoseconds retry_after = seconds(1); ///< After a table error.
    /// Longest time from sending an order to its arrival at the endpoint.
    nanoseconds longest_order_delay = seconds(5);
    /// Two monotonic clocks may run at rates that differ by this share of the measured time.
    double clock_drift = 0.01;

    auto operator<=>(const lease_settings&) const = default;
};

/// Nothing to do before this time, or before the running table operation has ended.
struct lease_idle {
    monotonic_time wake_at;

    auto operator<=>(const lease_idle&) const = default;
};

/// Read this row and pass the answer to `read_done`.
struct lease_read {
    std::string key;

    auto operator<=>(const lease_read&) const = default;
};

/// Commit this transaction and pass the answer to `commit_done`.
struct lease_commit {
    cloud::table_transaction transaction;

    bool operator==(const lease_commit&) const = default;
};

using lease_action = std::variant<lease_idle, lease_read, lease_commit>;

/// Whether an order may be sent now.
enum class order_permission {
    permitted,
    not_holder,        ///< Another process holds the lease, or nobody is known to.
    expired,           ///< The lease of this process has run out and was not renewed.
    too_little_time,   ///< The lease may run out before the order has been sent.
    table_unavailable, ///< The last table operation failed.
};

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

/// One process's part in the lease of a failure domain. The caller executes the action that `next` returns
/// and passes the answer back; one table operation runs at a time. Not thread-safe.
class lease_holder {
public:
    /// `holder` names this process. It must differ after a restart, because a restarted process does not know
    /// which orders its predecessor has sent.
    lease_holder(const failure_domain_id& domain, std::string holder, const lease_settings& settings);

    [[nodiscard]] lease_action next(monotonic_time now);
    void read_done(const cloud::read_result& result, monotonic_time now);
    void commit_done(const cloud::commit_result& result, monotonic_time now);

    /// An endpoint has refused an order because it knows a higher token: the lease is gone.
    void stale_token_seen(std::uint64_t newer_token);

    /// Gives the lease up at the next `next` and takes none any more. For a planned stop.
    void release();

    /// Whether an order that needs `time_needed` to be sent may be sent now.
    [[nodiscard]] order_permission permission(monotonic_time now, nanoseconds time_needed) const;

    /// Fencing token of this process while it is the holder.
    [[nodiscard]] std::optional<std::uint64_t> fencing() const;

    /// When the lease runs out, measured from before the last successful write was sent.
    [[nodiscard]] monotonic_time valid_until() const { return m_valid_until; }

private:
    struct observed_row {
        std::uint64_t version = 0; ///< 0 for an absent row.
        lease_record record;
        monotonic_time unchanged_since;
    };

    void observe(const std::optional<cloud::table_row>& row, monotonic_time now);
    void record_holding(const observed_row& row);
    void become_observer();
    [[nodiscard]] bool holds() const { return m_holding; }
    [[nodiscard]] nanoseconds takeover_wait(const observed_row& row) const;
    [[nodiscard]] lease_action write(lease_record record, monotonic_time now);
    [[nodiscard]] lease_action next_as_holder(monotonic_time now);
    [[nodiscard]] lease_action next_as_observer(monotonic_time now);
    [[nodiscard]] lease_action read(monotonic_time now);

    const std::string m_key;
    const std::string m_holder;
    const lease_settings m_settings;

    std::optional<observed_row> m_row;
    bool m_holding = false;
    bool m_operation_running = false;
    bool m_must_read = true;
    bool m_table_available = false;
    bool m_releasing = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_last_attempt = 0;
    monotonic_time m_valid_until;
    monotonic_time m_renew_at;
    monotonic_time m_wake_at;
    /// When each write was sent whose outcome is not known to be void.
    std::map<std::uint64_t, monotonic_time> m_sent_writes;
};

} // namespace siskinwharf::control
