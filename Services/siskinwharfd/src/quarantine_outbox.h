#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::entry {

/// Limits of a `quarantine_outbox`.
struct outbox_limits {
    /// Payload and headers. Membership and load digests of 14 members take 8.7 KB/s both ways (CAPACITY.md);
    /// this much sent and received keeps the sum below the budget of 10 KB/s.
    std::size_t bytes_per_second = 600;
    /// One record for each of 13 peers takes 2.5 KB and should leave at once.
    std::size_t burst_bytes = 4'000;
    /// Of records that are new. Further ones reach the peers by the slow repetition only.
    std::size_t maximum_records = 512;
};

/// Records for one peer in one datagram.
struct quarantine_datagram {
    instance_id recipient;
    std::vector<admission::quarantine_record> records;

    auto operator<=>(const quarantine_datagram&) const = default;
};

/// Decides which records of the quarantine are sent to which peer and when. New records go to each peer
/// several times, because datagrams are lost; all live records are repeated slowly, one datagram at a time,
/// which repairs what is still missing. Not safe for concurrent use.
class quarantine_outbox {
public:
    explicit quarantine_outbox(const outbox_limits& limits) : m_limits(limits), m_bytes(limits.burst_bytes) {}

    /// Adds records that were made here.
    void add(const std::vector<admission::quarantine_record>& records, monotonic_time now);
    /// Returns the datagrams to send now, within the byte budget. `list` holds the records to repeat.
    [[nodiscard]] std::vector<quarantine_datagram>
    take(monotonic_time now, const std::vector<instance_id>& peers, const admission::quarantine& list);

private:
    struct progress {
        std::size_t rounds = 0;
        monotonic_time next;
    };
    struct fresh_record {
        admission::quarantine_record record;
        monotonic_time added;
        std::map<instance_id, progress> sent;
    };
    using fresh_records = std::map<admission::content_key, fresh_record>;

    void make_room();
    [[nodiscard]] std::vector<fresh_record*> due_for(const instance_id& peer, monotonic_time now);
    [[nodiscard]] bool pay(std::size_t bytes);
    void take_fresh(monotonic_time now, const std::vector<instance_id>& peers,
                    std::vector<quarantine_datagram>& result);
    void take_repeated(monotonic_time now, const std::vector<instance_id>& peers,
                       const admission::quarantine& list, std::vector<quarantine_datagram>& result);

    outbox_limits m_limits;
    double m_bytes; ///< That may be sent now.
    monotonic_time m_paid_until;
    fresh_records m_fresh;
    std::size_t m_next_peer = 0; ///< Position in the peers at which the next datagram of new records starts.
    monotonic_time m_next_repeat;
    std::size_t m_next_repeat_peer = 0;
    admission::content_key m_repeated; ///< Last repeated record.
};

} // namespace siskinwharf::entry
