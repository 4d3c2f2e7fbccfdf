#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/claims/claim.h"

namespace siskinwharf::claims {

/// Limits of the background retries. With the defaults, each row is retried about once a minute during a long
/// outage of the table.
struct cleanup_limits {
    std::size_t maximum_entries = 4096; ///< Further final rows are dropped.
    milliseconds first_delay{100};      ///< Delay before the first retry.
    milliseconds maximum_delay{60'000}; ///< Upper limit of the exponential back-off.
};

/// A final row to write again. Pass the result to `claim_cleanup::on_result` with the same attempt.
struct cleanup_write {
    attempt_number attempt = 0;
    cloud::table_write write;
};

/// Retries the final rows of ended claims that the table has not confirmed. Each row is retried with
/// exponential back-off until it is stored or can no longer be written. Dropping an entry is safe: its row
/// stays `held`, so resends without a release token end as `unknown`. Not thread-safe.
class claim_cleanup {
public:
    explicit claim_cleanup(cleanup_limits limits) : m_limits(limits) {}

    /// Adds a final row to retry. Returns false if the list is full and the row was dropped.
    bool add(pending_final_write final_write, monotonic_time now);
    /// Returns the writes that are due, at most `maximum`. Each one is in flight until `on_result` is called
    /// for it.
    [[nodiscard]] std::vector<cleanup_write> due(monotonic_time now, std::size_t maximum);
    /// Handles the result of a write that `due` returned.
    void on_result(attempt_number attempt, const cloud::commit_result& result, monotonic_time now);
    /// Returns the reply to a peer that asks about an attempt, or `std::nullopt` if the attempt has no entry
    /// here.
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
