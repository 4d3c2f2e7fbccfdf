#include "wire.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "conversion.h"

namespace siskinwharf::peer {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

using protocol = TCompactProtocolT<TMemoryBuffer>;

// Generated code allocates a list before it reads its elements, so an authenticated but faulty peer could
// otherwise demand gigabytes with a few bytes. The largest list is a domain's members or summaries.
constexpr std::size_t container_limit = 16384;

template<typename Message>
message parse_as(std::string_view body)
{
    // OBSERVE never writes to the buffer; the interface is only missing the const.
    auto* bytes = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(body.data()));
    const auto size = static_cast<std::uint32_t>(body.size());
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, size, TMemoryBuffer::OBSERVE);
    protocol input(buffer, static_cast<std::int32_t>(size),
                   static_cast<std::int32_t>(std::min(body.size(), container_limit)));
    decltype(to_wire(std::declval<const Message&>())) parsed;
    try {
        parsed.read(&input);
    } catch (const TException& error) {
        throw wire_error(error.what());
    }
    if (buffer->available_read() != 0)
        throw wire_error("bytes after the end of the message");
    return from_wire(parsed);
}

template<std::size_t... Numbers>
constexpr auto make_parsers(std::index_sequence<Numbers...> /*numbers*/)
{
    using parser = message (*)(std::string_view);
    return std::array<parser, sizeof...(Numbers)>{parse_as<std::variant_alternative_t<Numbers, message>>...};
}

constexpr auto parsers = make_parsers(std::make_index_sequence<std::variant_size_v<message>>());

} // namespace

void append_body(std::string& output, const message& value)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    protocol encoder(buffer);
    std::visit([&encoder](const auto& alternative) { to_wire(alternative).write(&encoder); }, value);
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&bytes, &size);
    output.append(reinterpret_cast<const char*>(bytes), size);
}

message parse_body(std::size_t number, std::string_view body)
{
    if (number >= parsers.size())
        throw wire_error("unknown message number");
    // Thrift refuses a null buffer, which an empty view may have; no message is empty either.
    if (body.empty())
        throw wire_error("empty body");
    return parsers[number](body);
}

} // namespace siskinwharf::peer
