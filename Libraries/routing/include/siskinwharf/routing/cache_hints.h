#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

namespace siskinwharf::routing {

/// Where a prompt prefix was last seen. Only a hint: it may be late, overwritten or wrong, and a wrong one
/// costs no more than the prefill of the prompt.
struct cache_hint {
    std::uint64_t endpoint_key = 0; ///< Hash of the endpoint id.
    std::uint32_t generation = 0;   ///< `endpoint_load::hint_generation` when the hint was stored.
};

/// Fixed-size map from prefix block hashes to endpoints. A new hint replaces the one in its slot. Usable from
/// several threads without a lock; a read that overlaps a write finds no hint.
class cache_hints {
public:
    /// `slots` is rounded up to a power of two. One slot takes 32 bytes.
    explicit cache_hints(std::size_t slots);

    void store(std::uint64_t prefix_hash, cache_hint hint);
    /// Removes the hint if it names this endpoint.
    void evict(std::uint64_t prefix_hash, std::uint64_t endpoint_key);
    [[nodiscard]] std::optional<cache_hint> find(std::uint64_t prefix_hash) const;

private:
    struct slot {
        std::atomic<std::uint64_t> prefix{0};
        std::atomic<std::uint64_t> endpoint_key{0};
        std::atomic<std::uint64_t> generation{0};
        // Binds the other three together: their combined hash. A mixture of two writes does not match it.
        std::atomic<std::uint64_t> check{0};
    };

    [[nodiscard]] std::size_t index_of(std::uint64_t prefix_hash) const;

    std::vector<slot> m_slots;
};

} // namespace siskinwharf::routing
