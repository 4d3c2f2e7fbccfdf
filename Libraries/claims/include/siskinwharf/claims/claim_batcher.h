#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/cloud/table.h"

namespace siskinwharf::claims {

/// Identifier of a submitted write until its result is known.
using write_ticket = std::uint64_t;

/// Limits of write groups and of the queue. A group is committed when it reaches `maximum_writes`,
/// `maximum_bytes` or `maximum_age`. The age limit follows from a table that allows 300 transactions/s:
/// shared by 9 entry processes, that is one transaction per process every 30 ms.
struct batch_limits {
    std::size_t maximum_writes = 64;
    std::size_t maximum_bytes = std::size_t{256} * 1024; ///< Total size of the keys and values of a group.
    milliseconds maximum_age{30};                        ///< Age of the oldest write of a group.
    std::size_t maximum_queued = 4096; ///< Maximum number of writes without a result, in all groups.
    /// Maximum number of transactions without a result. A low limit makes groups grow when the table is slow:
    /// in the benchmark, the 95th percentile wait at 6,000 writes/s is 75 ms with 1, 116 ms with 2 and 234 ms
    /// with 4. With 1, a lost reply would block all claims of the process until the adapter's timeout.
    std::size_t maximum_in_flight = 2;
};

/// A group of writes to commit as one transaction. Pass the result to `claim_batcher::on_result` with the
/// same number.
struct write_batch {
    std::uint64_t number = 0;
    cloud::table_transaction transaction;
};

/// The result of one write. A conflict lists only the row of this write.
struct write_result {
    write_ticket ticket = 0;
    cloud::commit_result result;
};

/// Groups the writes of many claims into one transaction. If a group conflicts, its conflicting writes get
/// their result and the remaining ones are retried at once, ahead of newer writes. Any other result applies
/// to every write of the group. A group never contains two writes to the same row. Not thread-safe.
class claim_batcher {
public:
    explicit claim_batcher(batch_limits limits) : m_limits(limits) {}

    /// Queues a write. Returns `std::nullopt` if the queue is full: the write will not be sent, which a claim
    /// must handle like `cloud::table_unavailable`.
    [[nodiscard]] std::optional<write_ticket> submit(cloud::table_write write, monotonic_time now);
    /// Removes a write that is not in flight. Returns false if the write is in flight or already has its
    /// result. A removed write has not taken effect and never will.
    [[nodiscard]] bool withdraw(write_ticket ticket);
    /// Returns the next group if one is due and fewer than `maximum_in_flight` transactions are in flight.
    [[nodiscard]] std::optional<write_batch> next_batch(monotonic_time now);
    /// Returns the latest time for the next call to `next_batch` if no result arrives before, or
    /// `std::nullopt` if no new write is queued.
    [[nodiscard]] std::optional<monotonic_time> next_due() const;
    /// Handles the result of a transaction and returns the results of the writes that it decides. A number
    /// that is not in flight is ignored.
    [[nodiscard]] std::vector<write_result> on_result(std::uint64_t number,
                                                      const cloud::commit_result& result);
    /// Returns the number of writes without a result.
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    struct queued_write {
        write_ticket ticket = 0;
        cloud::table_write write;
        monotonic_time submitted;
    };
    using group = std::vector<queued_write>;

    [[nodiscard]] bool is_due(monotonic_time now) const;
    [[nodiscard]] group take_group();
    [[nodiscard]] std::vector<write_result> split_conflicting(group members,
                                                              const cloud::table_conflict& conflict);

    batch_limits m_limits;
    std::deque<queued_write> m_queue;
    std::size_t m_queue_bytes = 0;
    std::deque<group> m_retry_groups; ///< Groups to retry without their conflicting writes.
    std::map<std::uint64_t, group> m_in_flight;
    std::size_t m_size = 0;
    write_ticket m_next_ticket = 1;
    std::uint64_t m_next_batch_number = 1;
};

} // namespace siskinwharf::claims
