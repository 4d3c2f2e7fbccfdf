#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "engine_options.h"
#include "engine_stream.h"
#include "prefix_cache.h"

namespace siskinwharf::standins {

/// Counts of tokens since the start. Cached, prefilled, recomputed and retried concern context tokens.
struct token_counters {
    std::uint64_t prefilled = 0; ///< Computed at prefill.
    std::uint64_t cached = 0;    ///< Found in the prefix cache.
    std::uint64_t recomputed =
        0;                     ///< Part of `prefilled`, of streams that continue tokens produced elsewhere.
    std::uint64_t retried = 0; ///< Part of `prefilled`, of later attempts that start from the first token.
    std::uint64_t decoded = 0;
};

/// What one step did.
struct step_result {
    std::vector<std::shared_ptr<engine_stream>> finished_prefill;
    std::vector<std::shared_ptr<engine_stream>> advanced; ///< Those with a new token or an end.
    std::vector<std::shared_ptr<engine_stream>> finished;
    std::vector<cache_change> cache_changes;
    std::uint64_t decoded = 0;
};

/// Continuous batching without I/O and clock: each step prefills a bounded number of tokens, in the order of
/// priority, and decodes one token of each stream that has finished its prefill.
class batch_scheduler {
public:
    explicit batch_scheduler(const engine_options& options);

    /// False if the batch and the queue are full.
    [[nodiscard]] bool has_room() const;
    void add(std::shared_ptr<engine_stream> stream);
    /// Takes a stream out of batch and queue.
    void remove(const engine_stream& stream);

    [[nodiscard]] bool idle() const { return m_batch.empty() && m_queue.empty(); }
    [[nodiscard]] std::size_t in_flight() const { return m_batch.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    [[nodiscard]] std::size_t cached_blocks() const { return m_cache.size(); }
    [[nodiscard]] const token_counters& counters() const { return m_counters; }

    /// Fills the batch from the queue and returns how long the next step takes.
    [[nodiscard]] nanoseconds begin_step();
    /// Applies the step of the last `begin_step`.
    step_result finish_step();

private:
    void fill_batch();
    void start(engine_stream& stream);

    engine_options m_options;
    prefix_cache m_cache;
    std::vector<std::shared_ptr<engine_stream>> m_batch;
    std::vector<std::shared_ptr<engine_stream>> m_queue;
    // The streams whose work the running step pays for, with the tokens it prefills.
    std::vector<std::pair<std::shared_ptr<engine_stream>, std::uint64_t>> m_step_prefills;
    std::vector<std::shared_ptr<engine_stream>> m_step_decodes;
    token_counters m_counters;
};

} // namespace siskinwharf::standins
