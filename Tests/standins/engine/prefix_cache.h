#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace siskinwharf::standins {

/// A block that entered or left the prefix cache.
struct cache_change {
    std::uint64_t block = 0;
    bool stored = false;
};

/// Bounded cache of prefix blocks; the least recently used block leaves first.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t block_limit) : m_block_limit(block_limit) {}

    /// Number of leading blocks that are cached. Marks them as used.
    std::size_t match(const std::vector<std::uint64_t>& blocks);
    /// Inserts all blocks and marks them as used. Returns what changed, in order.
    std::vector<cache_change> store(const std::vector<std::uint64_t>& blocks);
    [[nodiscard]] std::size_t size() const { return m_positions.size(); }

private:
    std::size_t m_block_limit;
    std::list<std::uint64_t> m_blocks; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace siskinwharf::standins
