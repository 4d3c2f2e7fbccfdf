#pragma once

// Conversions between the messages and the generated types, for the files that encode and decode them.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "exchange_types.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/exchange/endpoint_limit_update.h"
#include "siskinwharf/exchange/exchange_error.h"
#include "siskinwharf/exchange/part_crash_update.h"
#include "siskinwharf/exchange/quarantine_update.h"
#include "siskinwharf/exchange/stream_update.h"

namespace siskinwharf::exchange {

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

/// Maximum number of elements in a container. Generated code allocates a list before it reads the elements.
inline constexpr std::int32_t container_limit = 16'384;
inline constexpr double permille = 1'000;

inline std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

inline std::uint64_t to_unsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

/// Treats a negative amount, which no correct peer sends, as 0.
inline std::uint64_t to_amount(std::int64_t value)
{
    return value < 0 ? 0 : static_cast<std::uint64_t>(value);
}

inline std::uint32_t to_count(std::int32_t value)
{
    return value < 0 ? 0 : static_cast<std::uint32_t>(value);
}

/// An age from a peer. Bounded, so that sums with it cannot overflow.
inline milliseconds to_age(std::int64_t value)
{
    constexpr milliseconds maximum_age = std::chrono::hours(24);
    return std::clamp(milliseconds(value), milliseconds(0), maximum_age);
}

[[nodiscard]] part_crash_update from_wire(const wire::part_crash_update& value);
[[nodiscard]] endpoint_limit_update from_wire(const wire::endpoint_limit_update& value);
[[nodiscard]] quarantine_update from_wire(const wire::quarantine_update& value);
[[nodiscard]] stream_update from_wire(const wire::stream_update& value);
[[nodiscard]] stream_query from_wire(const wire::stream_query& value);

/// Divides the items of one sender among messages with at most `maximum` items.
template<typename Message, typename Item>
std::vector<Message> split_into_messages(const instance_id& process, std::uint64_t start,
                                         const std::vector<Item>& items, std::size_t maximum)
{
    std::vector<Message> result;
    for (std::size_t from = 0; from < items.size(); from += maximum) {
        const auto begin = items.begin() + static_cast<std::ptrdiff_t>(from);
        const auto size = std::min(maximum, items.size() - from);
        result.push_back({process, start, {begin, begin + static_cast<std::ptrdiff_t>(size)}});
    }
    return result;
}

template<typename Wire>
std::string write(const Wire& value)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    protocol encoder(buffer);
    value.write(&encoder);
    return buffer->getBufferAsString();
}

/// Returns nothing if the datagram contains another type of message.
template<typename Wire>
std::optional<Wire> read(std::string_view datagram)
{
    // OBSERVE never writes to the buffer; the interface is only missing the const.
    auto* bytes = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(datagram.data()));
    const auto size = static_cast<std::uint32_t>(datagram.size());
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, size, TMemoryBuffer::OBSERVE);
    protocol input(buffer, static_cast<std::int32_t>(size), container_limit);
    Wire parsed;
    try {
        parsed.read(&input);
    } catch (const apache::thrift::TException& error) {
        throw exchange_error(error.what());
    }
    if (buffer->available_read() != 0 || parsed.process.empty())
        return std::nullopt;
    return parsed;
}

} // namespace siskinwharf::exchange
