#pragma once

#include <algorithm>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "siskinwharf/claims/claim_batcher.h"

namespace siskinwharf::claims {

/// Load of the simulation and properties of the simulated table.
struct batch_load {
    unsigned processes = 9;
    double writes_per_second = 0;         ///< Total of all processes, with exponential gaps between writes.
    double conflict_share = 0.005;        ///< Share of the writes that conflict, 0 to 1.
    double transactions_per_second = 300; ///< Rate at which the table executes them, one at a time.
    milliseconds round_trip{4};
    seconds duration{20};
};

/// Measurements of one simulation run, in virtual time.
struct batch_results {
    double completed_per_second = 0;
    std::size_t refused = 0; ///< Writes refused because the queue was full.
    std::size_t transactions = 0;
    milliseconds wait_p95{0}; ///< 95th percentile of the time from submission to result.
};

/// Simulates the batchers of several processes that share a table with a limited transaction rate, in virtual
/// time.
inline batch_results simulate_batches(const batch_load& load, const batch_limits& limits)
{
    enum class kind { arrival, timer, answer };
    using event = std::tuple<monotonic_time, kind, unsigned, std::uint64_t>;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<claim_batcher> batchers(load.processes, claim_batcher(limits));
    std::vector<std::unordered_map<write_ticket, monotonic_time>> submitted(load.processes);
    std::vector<std::unordered_map<std::uint64_t, cloud::table_transaction>> sent(load.processes);
    std::mt19937_64 random(20261204);
    std::exponential_distribution<double> arrival_gap(load.writes_per_second / load.processes);
    std::bernoulli_distribution conflicts(load.conflict_share);
    std::vector<nanoseconds> waits;
    batch_results results;
    monotonic_time table_free_at{};
    const monotonic_time end = monotonic_time{} + load.duration;
    const nanoseconds transaction_time(static_cast<std::int64_t>(1e9 / load.transactions_per_second));
    const auto next_arrival = [&](monotonic_time now) {
        return now + nanoseconds(static_cast<std::int64_t>(arrival_gap(random) * 1e9));
    };
    for (unsigned process = 0; process < load.processes; ++process)
        events.emplace(next_arrival({}), kind::arrival, process, 0);
    std::uint64_t calls = 0;
    while (!events.empty()) {
        const auto [now, what, process, number] = events.top();
        events.pop();
        if (now > end)
            break;
        claim_batcher& batcher = batchers[process];
        if (what == kind::arrival) {
            const std::string key = "claim/bakery/" + std::to_string(++calls);
            if (const auto ticket =
                    batcher.submit({key, std::string(220, 'x'), cloud::require_absent{}}, now))
                submitted[process][*ticket] = now;
            else
                ++results.refused;
            events.emplace(next_arrival(now), kind::arrival, process, 0);
            events.emplace(now + limits.maximum_age, kind::timer, process, 0);
        } else if (what == kind::answer) {
            cloud::table_conflict conflict;
            const auto transaction = sent[process].extract(number);
            for (std::size_t index = 0; index < transaction.mapped().writes.size(); ++index) {
                if (conflicts(random))
                    conflict.rows.push_back({index, {}});
            }
            const auto result = conflict.rows.empty() ? cloud::commit_result{cloud::table_committed{}}
                                                      : cloud::commit_result{conflict};
            for (const auto& answer : batcher.on_result(number, result))
                waits.push_back(now - submitted[process].extract(answer.ticket).mapped());
        }
        while (auto batch = batcher.next_batch(now)) {
            table_free_at = std::max(table_free_at, now) + transaction_time;
            events.emplace(table_free_at + load.round_trip, kind::answer, process, batch->number);
            sent[process].emplace(batch->number, std::move(batch->transaction));
            ++results.transactions;
        }
    }
    results.completed_per_second =
        static_cast<double>(waits.size()) / static_cast<double>(load.duration.count());
    std::sort(waits.begin(), waits.end());
    if (!waits.empty())
        results.wait_p95 = std::chrono::duration_cast<milliseconds>(waits[waits.size() * 95 / 100]);
    return results;
}

} // namespace siskinwharf::claims
