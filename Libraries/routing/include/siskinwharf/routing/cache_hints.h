#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace siskinwharf::routing {

/// Endpoint that probably has a prompt prefix in its KV cache. A hint may be outdated or wrong; the cost of a
/// wrong hint is the prefill of the prompt.
struct cache_hint {
    std::uint64_t endpoint_key = 0; ///< Hash of the endpoint id.
    std::uint32_t generation = 0;   ///< `endpoint_load::hint_generation` when the hint was stored.
};

/// Fixed-size map from prefix block hashes to endpoints. A new hint replaces the hint in the same slot.
/// Thread-safe without locks; a read that overlaps a write finds no hint.
class cache_hints {
public:
    /// `slots` is rounded up to a power of two. One slot takes 32 bytes.
    explicit cache_hints(std::size_t slots);

    /// Stores the endpoint of a prefix, replacing any hint in the slot.
    void store(std::uint64_t prefix_hash, cache_hint hint);
    /// Removes the hint of a prefix if it names this endpoint.
    void evict(std::uint64_t prefix_hash, std::uint64_t endpoint_key);
    /// The hint for a prefix, or nothing. The caller compares its generation with that of the endpoint.
    [[nodiscard]] std::optional<cache_hint> find(std::uint64_t prefix_hash) const;

private:
    struct slot {
        std::atomic<std::uint64_t> prefix{0};
        std::atomic<std::uint64_t> endpoint_key{0};
        std::atomic<std::uint64_t> generation{0};
        // Combined hash of the other three fields. Detects a slot that contains parts of two concurrent
        // writes.
        std::atomic<std::uint64_t> check{0};
    };

    [[nodiscard]] std::size_t index_of(std::uint64_t prefix_hash) const;

    std::vector<slot> m_slots;
};

} // namespace siskinwharf::routing
