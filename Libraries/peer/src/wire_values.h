#pragma once

#include <algorithm>
#include <cstdint>

#include "siskinwharf/base/time.h"
#include "wire.h"

namespace siskinwharf::peer {

// Thrift has signed integers only; the bits are kept.
[[nodiscard]] inline std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

[[nodiscard]] inline std::int32_t to_signed(std::uint32_t value)
{
    return static_cast<std::int32_t>(value);
}

[[nodiscard]] inline std::uint64_t to_unsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

[[nodiscard]] inline std::uint32_t to_unsigned(std::int32_t value)
{
    return static_cast<std::uint32_t>(value);
}

template<typename Enum>
[[nodiscard]] inline std::int8_t to_byte(Enum value)
{
    return static_cast<std::int8_t>(value);
}

template<typename Enum>
[[nodiscard]] Enum to_enum(std::int8_t value, Enum last)
{
    if (value < 0 || value > static_cast<std::int8_t>(last))
        throw wire_error("enumerator out of range");
    return static_cast<Enum>(value);
}

[[nodiscard]] inline std::uint16_t to_port(std::int32_t value)
{
    if (value < 0 || value > UINT16_MAX)
        throw wire_error("port out of range");
    return static_cast<std::uint16_t>(value);
}

[[nodiscard]] inline milliseconds to_duration(std::int64_t value)
{
    // Bounds keep later additions to a time point, in nanoseconds, from overflowing.
    constexpr std::int64_t longest = 7LL * 24 * 3600 * 1000;
    return milliseconds(std::clamp<std::int64_t>(value, 0, longest));
}

} // namespace siskinwharf::peer
