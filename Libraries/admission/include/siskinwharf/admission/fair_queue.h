#pragma once

#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::admission {

/// Index of an account in a `fair_queue`. The caller keeps it next to the account's entry of the sheet.
using account_slot = std::size_t;

/// A request that waits for an endpoint.
struct queued_request {
    request_id request; ///< Unique among the queued requests.
    account_slot account = 0;
    std::uint64_t cost = 0; ///< Estimated tokens, prompt and answer. Zero counts as one.
    monotonic_time deadline;

    auto operator<=>(const queued_request&) const = default;
};

/// Limits of a `fair_queue`.
struct queue_limits {
    std::size_t maximum_accounts = 256;
    std::size_t maximum_queued = 256; ///< Requests of one account.
    /// Most service in tokens for weight 1 that an account may take ahead of the others after it was idle,
    /// about ten requests. Without it, chance bunches of requests of a small account wait behind the large
    /// one: in fairness_test.cpp the 95th percentile wait at 0.9 times the share is 722 ms with and 1761 ms
    /// without.
    double burst = 2000;
};

/// There are more accounts than a `fair_queue` has slots for.
class too_many_accounts : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Start-time fair queueing between accounts: each gets service in proportion to its weight while it has
/// requests, whatever the others send. Requests of one account leave in the order they came.
///
/// An account is charged when a request leaves, so that dropped and cancelled requests cost it nothing. Safe
/// for concurrent use: `is_over_limit` is lock free, everything else takes a mutex.
class fair_queue {
public:
    explicit fair_queue(queue_limits limits);

    /// Adds an account or changes its weight, which is at least 1. Throws `too_many_accounts`.
    account_slot set_account(const account_id& account, std::uint32_t weight);
    /// Adds a request. If the account's queue is full, the request of this account with the earliest
    /// deadline, the least likely to be met, is dropped and returned. It can be the new one.
    [[nodiscard]] std::optional<queued_request> push(queued_request request);
    /// Returns the next request to run.
    [[nodiscard]] std::optional<queued_request> pop();
    /// Drops and returns the requests whose deadline has passed, the earliest deadline first.
    [[nodiscard]] std::vector<queued_request> drop_expired(monotonic_time now);
    /// Removes a request that its caller gave up. Returns false if it is not queued.
    bool cancel(account_slot account, const request_id& request);
    /// Whether the account's queue is full. Can be out of date by the time it is used.
    [[nodiscard]] bool is_over_limit(account_slot account) const noexcept;
    [[nodiscard]] std::size_t size() const;

private:
    struct account_state {
        std::uint32_t weight = 1;
        double finish_tag = 0; ///< Of the last request that left, in tokens for weight 1.
        double start_tag = 0;  ///< Of the first request in the queue.
        std::deque<queued_request> waiting;
    };
    using deadline_key = std::pair<monotonic_time, request_id>;

    void activate(account_slot slot);
    [[nodiscard]] std::optional<std::size_t> find(account_slot slot, const request_id& request) const;
    [[nodiscard]] queued_request remove(account_slot slot, std::size_t index);

    queue_limits m_limits;
    /// Allocated once, so that the lock-free reader never meets a reallocation.
    std::vector<std::atomic<std::uint32_t>> m_queued;
    mutable std::mutex m_mutex;
    std::map<account_id, account_slot> m_slots;
    std::vector<account_state> m_accounts;
    std::set<std::pair<double, account_slot>> m_active; ///< Start tags of the accounts with requests.
    std::set<std::pair<deadline_key, account_slot>> m_deadlines;
    double m_virtual_time = 0;
};

} // namespace siskinwharf::admission
