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

/// Number that names a submitted write until its result is known.
using write_ticket = std::uint64_t;

/// Limits of groups and of the queue. A group is committed when it reaches one of the first three. With 9
/// entry processes and 300 transactions/s for all of them, each has one transaction in 30 ms.
struct batch_limits {
    std::size_t maximum_writes = 64;
    std::size_t maximum_bytes = std::size_t{256} * 1024; ///< Keys and values of a group.
    milliseconds maximum_age{30};                        ///< Of the oldest write of a group.
    std::size_t maximum_queued = 4096;                   ///< Writes without a result, in all groups.
    /// Transactions without a result. Few in flight let groups grow when the table is slow: in the benchmark
    /// the 95th percentile wait at 6,000 writes/s is 75 ms with 1, 116 ms with 2 and 234 ms with 4. With 1, a
    /// lost answer would hold up all claims of the process until the adapter's timeout.
    std::size_t maximum_in_flight = 2;
};

/// A group to commit. Its result goes to `claim_batcher::on_result` with the same number.
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
/// their result and the others are committed again at once, before newer ones. Any other result applies to
/// every write of the group. Two writes of one row are never in the same group. Not safe for concurrent use.
class claim_batcher {
public:
    explicit claim_batcher(batch_limits limits) : m_limits(limits) {}

    /// Queues a write. Returns nothing if the queue is full: the write will not be sent, which for a claim is
    /// the same as `cloud::table_unavailable`.
    [[nodiscard]] std::optional<write_ticket> submit(cloud::table_write write, monotonic_time now);
    /// Takes a write back that is not in flight. Returns false if it is, or has its result. A write that was
    /// taken back has not taken effect and will not.
    [[nodiscard]] bool withdraw(write_ticket ticket);
    /// Returns a group if one is due and another transaction may be in flight.
    [[nodiscard]] std::optional<write_batch> next_batch(monotonic_time now);
    /// Returns when `next_batch` has to be called at the latest if no result comes before.
    [[nodiscard]] std::optional<monotonic_time> next_due() const;
    [[nodiscard]] std::vector<write_result> on_result(std::uint64_t number,
                                                      const cloud::commit_result& result);
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
    std::deque<group> m_retry_groups; ///< Groups whose conflicting writes were taken out.
    std::map<std::uint64_t, group> m_in_flight;
    std::size_t m_size = 0;
    write_ticket m_next_ticket = 1;
    std::uint64_t m_next_batch_number = 1;
};

} // namespace siskinwharf::claims
