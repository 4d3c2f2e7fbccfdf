#include "prefix_cache.h"

namespace siskinwharf::standins {

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& blocks)
{
    std::size_t count = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = m_positions.find(block);
        if (found == m_positions.end())
            break;
        ++count;
    }
    // Marked from the end, so that the last block of a prefix is evicted before the blocks that it builds on.
    for (std::size_t index = count; index > 0; --index)
        m_blocks.splice(m_blocks.begin(), m_blocks, m_positions.at(blocks[index - 1]));
    return count;
}

std::vector<cache_change> prefix_cache::store(const std::vector<std::uint64_t>& blocks)
{
    std::vector<cache_change> changes;
    if (m_block_limit == 0)
        return changes;
    for (std::size_t index = blocks.size(); index > 0; --index) {
        const std::uint64_t block = blocks[index - 1];
        if (const auto found = m_positions.find(block); found != m_positions.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, found->second);
            continue;
        }
        if (m_positions.size() >= m_block_limit) {
            changes.push_back({m_blocks.back(), false});
            m_positions.erase(m_blocks.back());
            m_blocks.pop_back();
        }
        m_blocks.push_front(block);
        m_positions[block] = m_blocks.begin();
        changes.push_back({block, true});
    }
    return changes;
}

} // namespace siskinwharf::standins
