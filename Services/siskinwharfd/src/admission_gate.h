#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/admission/admission_control.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/routing/router.h"
#include "siskinwharf/routing/routing_table.h"
#include "suspect_isolation.h"

namespace siskinwharf::entry {

/// Order in which waiting requests get free slots.
enum class slot_priority {
    accepted, ///< Promised to a caller: ahead of everything else and never dropped.
    retry,    ///< Had its turn before and lost its slot. Not charged to its account again.
    fresh,    ///< Waits its turn in the fair queue.
};

/// A request for a slot at an endpoint.
struct slot_request {
    routing::routing_request routing;
    std::uint32_t share = 1; ///< Weight of the account.
    slot_priority priority = slot_priority::fresh;
    monotonic_time deadline; ///< Of the complete answer.
    monotonic_time give_up_at;
};

/// A slot, the reason why there is none, or a refusal by admission control.
using slot_decision = std::variant<routing::chosen_endpoint, routing::no_endpoint, http::refusal>;

/// What an attempt that gave its slot back measured.
struct slot_usage {
    nanoseconds held{0};
    double tokens_per_second = 0; ///< Of the stream. 0 if unknown.
    double share_of_maximum = 0;  ///< Tokens of the whole answer for each token allowed. 0 if it did not end.
};

/// Gives the slots of endpoints to the requests of all workers: accepted requests first, then retries, then
/// new requests in the order of a fair queue for each target. Safe for concurrent use. A request that finds a
/// free slot while none waits for the same target takes no lock.
class admission_gate {
public:
    /// Router, table and isolation must outlive the gate. `queue_length` bounds the new requests of one
    /// account that wait for one target.
    admission_gate(routing::router& router, const routing::routing_table& table,
                   const suspect_isolation& isolation, std::size_t queue_length);
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;
    admission_gate(admission_gate&&) = delete;
    admission_gate& operator=(admission_gate&&) = delete;
    ~admission_gate();

    /// Waits for a slot until `give_up_at`. The waiting coroutine may be destroyed at any time.
    boost::asio::awaitable<slot_decision> acquire(slot_request request);
    /// A slot of the target became free. Hands free slots to waiting requests; takes no lock if none waits.
    void on_release(const routing::target& target, const slot_usage& usage);
    /// Expected time from the first token to the end of the answer; 0 if nothing was measured lately.
    [[nodiscard]] milliseconds decode_time(const routing::routing_request& request);
    [[nodiscard]] std::size_t waiting() const { return m_waiting.load(std::memory_order_relaxed); }

private:
    struct waiter;
    struct target_queue;
    class ticket;

    /// What is known about a target without a lock. Targets share one by their hash: a collision costs the
    /// fast path and mixes the mean times.
    struct target_statistics {
        std::atomic<std::uint32_t> waiting{0};
        std::atomic<double> hold_seconds{0}; ///< Mean time that a slot is held.
        std::atomic<double> tokens_per_second{0};
        std::atomic<double> share_of_maximum{0};
        std::atomic<std::int64_t> sampled_at{0}; ///< Nanoseconds of the monotonic clock.
    };
    static constexpr std::size_t statistics_count = 1024;

    [[nodiscard]] target_statistics& statistics_of(const routing::target& target);
    [[nodiscard]] std::shared_ptr<target_queue> queue_of(const routing::target& target);
    /// Chooses among the endpoints that are not reserved for suspects.
    [[nodiscard]] routing::routing_decision choose(const routing::routing_request& request);
    /// Checks a request that a slot was found for. Takes no lock.
    [[nodiscard]] slot_decision check(routing::routing_decision decision, const slot_request& request);
    /// Adds a waiter or sets its refusal.
    void enter(target_queue& queue, const std::shared_ptr<waiter>& added);
    /// Gives free slots to waiters in their order.
    void dispatch(target_queue& queue);
    /// The caller holds the mutex of the queue.
    void dispatch_locked(target_queue& queue);
    /// Returns whether the waiter got its decision.
    bool offer(waiter& candidate);
    [[nodiscard]] admission::admission_estimate estimate(const target_queue& queue,
                                                         const slot_request& request);
    [[nodiscard]] std::optional<http::refusal>
    judge(const slot_request& request, const admission::admission_estimate& estimate, bool over_limit) const;

    routing::router& m_router;
    const routing::routing_table& m_table;
    const suspect_isolation& m_isolation;
    const std::size_t m_queue_length;
    /// A caller that comes back sooner finds the same queue: a slot is held for the seconds of an answer.
    static constexpr milliseconds minimum_retry{500};
    const admission::admission_control m_control{admission::admission_limits{.minimum_retry = minimum_retry}};
    std::array<target_statistics, statistics_count> m_statistics{};
    std::atomic<std::size_t> m_waiting{0};
    std::atomic<std::uint64_t> m_next_number{1};
    std::mutex m_mutex; ///< Of the map; each queue has its own.
    std::map<routing::target, std::shared_ptr<target_queue>> m_queues;
};

} // namespace siskinwharf::entry
