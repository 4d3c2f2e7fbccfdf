#include "siskinwharf/routing/cache_hints.h"

#include <bit>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

std::uint64_t checksum(std::uint64_t prefix, std::uint64_t key, std::uint64_t generation)
{
    return mix64(prefix ^ mix64(key + generation)) | 1U;
}

} // namespace

cache_hints::cache_hints(std::size_t slots) : m_slots(std::bit_ceil(slots)) {}

void cache_hints::store(std::uint64_t prefix_hash, cache_hint hint)
{
    auto& place = m_slots[index_of(prefix_hash)];
    const auto check = checksum(prefix_hash, hint.endpoint_key, hint.generation);
    // Most requests of a conversation confirm the hint; reading first keeps the cache line shared.
    if (place.check.load(std::memory_order_relaxed) == check)
        return;
    place.prefix.store(prefix_hash, std::memory_order_relaxed);
    place.endpoint_key.store(hint.endpoint_key, std::memory_order_relaxed);
    place.generation.store(hint.generation, std::memory_order_relaxed);
    place.check.store(check, std::memory_order_relaxed);
}

void cache_hints::evict(std::uint64_t prefix_hash, std::uint64_t endpoint_key)
{
    if (const auto hint = find(prefix_hash); hint && hint->endpoint_key == endpoint_key)
        m_slots[index_of(prefix_hash)].check.store(0, std::memory_order_relaxed);
}

std::optional<cache_hint> cache_hints::find(std::uint64_t prefix_hash) const
{
    const auto& place = m_slots[index_of(prefix_hash)];
    if (place.prefix.load(std::memory_order_relaxed) != prefix_hash)
        return std::nullopt;
    const auto key = place.endpoint_key.load(std::memory_order_relaxed);
    const auto generation = place.generation.load(std::memory_order_relaxed);
    if (place.check.load(std::memory_order_relaxed) != checksum(prefix_hash, key, generation))
        return std::nullopt;
    return cache_hint{key, static_cast<std::uint32_t>(generation)};
}

std::size_t cache_hints::index_of(std::uint64_t prefix_hash) const
{
    return mix64(prefix_hash) & (m_slots.size() - 1);
}

} // namespace siskinwharf::routing
