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

/// Index of an account in a `fair_queue`. The caller stores it with the account's settings from the sheet.
using account_slot = std::size_t;

/// A request waiting for an endpoint.
struct queued_request {
    request_id request; ///< Unique among the queued requests.
    account_slot account = 0;
    std::uint64_t cost = 0;  ///< Estimated tokens of prompt and answer together. Zero counts as one.
    monotonic_time deadline; ///< `drop_expired` drops the request after this time.

    auto operator<=>(const queued_request&) const = default;
};

/// Limits of a `fair_queue`.
struct queue_limits {
    std::size_t maximum_accounts = 256; ///< Slots for accounts. They are never freed.
    std::size_t maximum_queued = 256;   ///< Queued requests per account.
    /// Service credit of an account that was idle, in tokens at weight 1; about ten requests. Without it,
    /// random bursts of a small account wait behind the backlog of a large one: in fairness_test.cpp, the
    /// 95th percentile wait at 0.9 times the share is 722 ms with the credit and 1761 ms without.
    double burst = 2000;
};

/// All account slots of a `fair_queue` are taken.
class too_many_accounts : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Start-time fair queueing between accounts: a backlogged account gets service in proportion to its weight,
/// independent of the load of other accounts. The requests of one account are served first in, first out.
///
/// An account is charged when its request is dequeued, so dropped and cancelled requests cost it nothing.
/// Safe for concurrent use: `is_over_limit` is lock free, all other functions take a mutex.
class fair_queue {
public:
    explicit fair_queue(queue_limits limits);

    /// Adds an account or changes its weight. Weight 0 counts as 1. Throws `too_many_accounts` if a new
    /// account finds no free slot.
    account_slot set_account(const account_id& account, std::uint32_t weight);
    /// Enqueues a request. If the account's queue is full, drops and returns the request of this account with
    /// the earliest deadline, which is the least likely to be met. This can be the new request. Throws
    /// `std::out_of_range` for an unknown slot.
    [[nodiscard]] std::optional<queued_request> push(queued_request request);
    /// Dequeues the next request to run. Returns nothing if the queue is empty.
    [[nodiscard]] std::optional<queued_request> pop();
    /// Drops and returns all requests whose deadline has passed, sorted by deadline.
    [[nodiscard]] std::vector<queued_request> drop_expired(monotonic_time now);
    /// Removes a request that its caller cancelled. Returns false if it is not queued. Throws
    /// `std::out_of_range` for an unknown slot.
    bool cancel(account_slot account, const request_id& request);
    /// Whether the account's queue is full; true for a slot beyond `maximum_accounts`. The result may be
    /// stale by the time it is used.
    [[nodiscard]] bool is_over_limit(account_slot account) const noexcept;
    /// Number of queued requests of all accounts.
    [[nodiscard]] std::size_t size() const;

private:
    struct account_state {
        std::uint32_t weight = 1;
        double finish_tag = 0; ///< Of the last dequeued request, in tokens at weight 1.
        double start_tag = 0;  ///< Of the first waiting request, in tokens at weight 1.
        std::deque<queued_request> waiting;
    };
    using deadline_key = std::pair<monotonic_time, request_id>;

    /// Computes the start tag of the account's first request and lets the account compete for service.
    void activate(account_slot slot);
    [[nodiscard]] std::optional<std::size_t> find(account_slot slot, const request_id& request) const;
    [[nodiscard]] queued_request remove(account_slot slot, std::size_t index);

    queue_limits m_limits;
    /// Queue length of each slot. Never resized, because `is_over_limit` reads it without the mutex.
    std::vector<std::atomic<std::uint32_t>> m_queued;
    mutable std::mutex m_mutex;
    std::map<account_id, account_slot> m_slots;
    std::vector<account_state> m_accounts;
    std::set<std::pair<double, account_slot>> m_active; ///< Accounts with waiting requests, by start tag.
    std::set<std::pair<deadline_key, account_slot>> m_deadlines; ///< All waiting requests, by deadline.
    double m_virtual_time = 0; ///< Highest start tag dequeued so far, in tokens at weight 1.
};

} // namespace siskinwharf::admission
