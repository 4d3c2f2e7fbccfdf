#pragma once

#include <cstdint>
#include <string_view>

namespace siskinwharf {

/// Finalizer of SplitMix64: spreads close inputs over the whole range.
[[nodiscard]] constexpr std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// FNV-1a with a final mix. Stable across processes and versions, so that all entry processes agree on it.
[[nodiscard]] constexpr std::uint64_t hash64(std::string_view data)
{
    std::uint64_t value = 0xCBF29CE484222325ULL;
    for (const char byte : data)
        value = (value ^ static_cast<unsigned char>(byte)) * 0x100000001B3ULL;
    return mix64(value);
}

[[nodiscard]] constexpr std::uint64_t combine64(std::uint64_t left, std::uint64_t right)
{
    return mix64(left ^ mix64(right));
}

/// Maps a hash evenly to a number from 0 up to 1.
[[nodiscard]] constexpr double unit_interval(std::uint64_t hash)
{
    constexpr auto mantissa_bits = 53U;
    return static_cast<double>(hash >> (64U - mantissa_bits)) / static_cast<double>(1ULL << mantissa_bits);
}

} // namespace siskinwharf
