#include "siskinwharf/routing/cache_hints.h"

#include <bit>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

/// Combined hash of the fields of a slot. Never 0, which marks an empty slot.
std::uint64_t checksum(std::uint64_t prefix, std::uint64_t key, std::uint64_t generation)
{
    return mix64(prefix ^ mix64(key + generation)) | 1U;
}

} // namespace

cache_hints::cache_hints(std::size_t slots) : m_slots(std::bit_ceil(slots)) {}

void cache_hints::store(std::uint64_t prefix_hash, cache_hint hint)
{
    auto& entry = m_slots[index_of(prefix_hash)];
    const auto check = checksum(prefix_hash, hint.endpoint_key, hint.generation);
    // Most requests of a conversation store the same hint again. Skipping the write keeps the cache line in
    // the shared state.
    if (entry.check.load(std::memory_order_relaxed) == check)
        return;
    entry.prefix.store(prefix_hash, std::memory_order_relaxed);
    entry.endpoint_key.store(hint.endpoint_key, std::memory_order_relaxed);
    entry.generation.store(hint.generation, std::memory_order_relaxed);
    entry.check.store(check, std::memory_order_relaxed);
}

void cache_hints::evict(std::uint64_t prefix_hash, std::uint64_t endpoint_key)
{
    if (const auto hint = find(prefix_hash); hint && hint->endpoint_key == endpoint_key)
        m_slots[index_of(prefix_hash)].check.store(0, std::memory_order_relaxed);
}

std::optional<cache_hint> cache_hints::find(std::uint64_t prefix_hash) const
{
    const auto& entry = m_slots[index_of(prefix_hash)];
    if (entry.prefix.load(std::memory_order_relaxed) != prefix_hash)
        return std::nullopt;
    const auto key = entry.endpoint_key.load(std::memory_order_relaxed);
    const auto generation = entry.generation.load(std::memory_order_relaxed);
    if (entry.check.load(std::memory_order_relaxed) != checksum(prefix_hash, key, generation))
        return std::nullopt;
    return cache_hint{key, static_cast<std::uint32_t>(generation)};
}

std::size_t cache_hints::index_of(std::uint64_t prefix_hash) const
{
    return mix64(prefix_hash) & (m_slots.size() - 1);
}

} // namespace siskinwharf::routing
