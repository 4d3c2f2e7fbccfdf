#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/claims/claim.h"

namespace siskinwharf::claims {

/// Limits of the background list. The defaults try a row about once a minute in a long outage of the table.
struct cleanup_limits {
    std::size_t maximum_entries = 4096;
    milliseconds first_delay{100};
    milliseconds maximum_delay{60'000};
};

/// One write of the background list. The result goes to `claim_cleanup::on_result` with the attempt.
struct cleanup_write {
    attempt_number attempt = 0;
    cloud::table_write write;
};

/// Final rows of ended claims that the table has not confirmed. Each is written again with exponential
/// back-off until it is written or can no longer be written. Dropping an entry is safe: its row stays `held`,
/// so that resends without a release token end as `unknown`. Not safe for concurrent use.
class claim_cleanup {
public:
    explicit claim_cleanup(cleanup_limits limits) : m_limits(limits) {}

    /// Adds an entry. Returns false if the list is full and the entry was dropped.
    bool add(pending_final_write final_write, monotonic_time now);
    /// Returns the writes that are due, at most `maximum`. Each is in_flight until its result is passed in.
    [[nodiscard]] std::vector<cleanup_write> due(monotonic_time now, std::size_t maximum);
    void on_result(attempt_number attempt, const cloud::commit_result& result, monotonic_time now);
    /// What to reply to a peer that asks about an attempt of this list.
    [[nodiscard]] std::optional<holder_reply> reply_to_peer(attempt_number attempt) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        pending_final_write final_write;
        monotonic_time next_try;
        milliseconds delay{0};
        bool in_flight = false;
    };

    cleanup_limits m_limits;
    std::map<attempt_number, entry> m_entries;
};

} // namespace siskinwharf::claims
