#include "siskinwharf/exchange/process_state.h"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "exchange_types.h"
#include "siskinwharf/exchange/exchange_error.h"

namespace siskinwharf::exchange {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

/// Generated code allocates a list before it reads the elements, so that their number is bounded.
constexpr std::int32_t container_limit = 16'384;

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t to_unsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

/// Amounts are never negative; a peer that sends such a value counts as having none.
std::uint64_t to_amount(std::int64_t value)
{
    return value < 0 ? 0 : static_cast<std::uint64_t>(value);
}

std::uint32_t to_count(std::int32_t value)
{
    return value < 0 ? 0 : static_cast<std::uint32_t>(value);
}

wire::process_state to_wire(const process_state& value)
{
    wire::process_state result;
    result.process = value.process.value();
    result.start = to_signed(value.start);
    result.sequence = to_signed(value.sequence);
    result.wall_ms = value.wall.time_since_epoch().count();
    result.uptime_ms = value.uptime.count();
    result.configuration_version = to_signed(value.configuration_version);
    result.list_version = to_signed(value.list_version);
    result.port = value.port;
    result.is_leaving = value.is_leaving;
    result.lease_number = to_signed(value.lease_number);
    result.failure_domain = value.domain.value();
    for (const auto& load : value.loads) {
        auto& entry = result.loads.emplace_back();
        entry.endpoint = load.endpoint.value();
        entry.running = static_cast<std::int32_t>(load.running);
        entry.waiting_tokens = to_signed(load.waiting_tokens);
    }
    for (const auto& use : value.accounts) {
        auto& entry = result.accounts.emplace_back();
        entry.account = use.account.value();
        entry.in_window = to_signed(use.in_window);
        entry.per_second = to_signed(use.per_second);
    }
    for (const auto& usage : value.usage) {
        auto& entry = result.usage.emplace_back();
        entry.window = usage.window;
        for (const auto& [account, count] : usage.counts)
            entry.counts[account.value()] = to_signed(count);
    }
    for (const auto& service : value.services) {
        auto& entry = result.services.emplace_back();
        entry.name = service.service.value();
        entry.tokens_per_second = to_signed(service.tokens_per_second);
        entry.running = static_cast<std::int32_t>(service.running);
    }
    for (const auto& record : value.crashes) {
        auto& entry = result.crashes.emplace_back();
        entry.account = record.key.account.value();
        entry.digest = record.key.digest;
        for (const auto crash : record.crashes)
            entry.crashes.push_back(to_signed(crash));
        entry.remaining_ms = record.remaining.count();
    }
    return result;
}

process_state from_wire(const wire::process_state& value)
{
    process_state result;
    result.process = instance_id(value.process);
    result.start = to_unsigned(value.start);
    result.sequence = to_unsigned(value.sequence);
    result.wall = usage::wall_time(milliseconds(value.wall_ms));
    result.uptime = milliseconds(value.uptime_ms);
    result.configuration_version = to_unsigned(value.configuration_version);
    result.list_version = to_unsigned(value.list_version);
    result.port = static_cast<std::uint16_t>(value.port);
    result.is_leaving = value.is_leaving;
    result.lease_number = to_unsigned(value.lease_number);
    result.domain = failure_domain_id(value.failure_domain);
    for (const auto& load : value.loads)
        result.loads.push_back(
            {endpoint_id(load.endpoint), to_count(load.running), to_amount(load.waiting_tokens)});
    for (const auto& use : value.accounts)
        result.accounts.push_back(
            {account_id(use.account), to_amount(use.in_window), to_amount(use.per_second)});
    for (const auto& entry : value.usage) {
        usage::usage_entry usage{result.process, result.start, entry.window, {}};
        for (const auto& [account, count] : entry.counts)
            usage.counts[account_id(account)] = to_amount(count);
        result.usage.push_back(std::move(usage));
    }
    for (const auto& service : value.services)
        result.services.push_back(
            {service_id(service.name), to_amount(service.tokens_per_second), to_count(service.running)});
    for (const auto& record : value.crashes) {
        admission::quarantine_record entry{
            {account_id(record.account), record.digest}, {}, milliseconds(record.remaining_ms)};
        for (const auto crash : record.crashes)
            entry.crashes.insert(to_unsigned(crash));
        result.crashes.push_back(std::move(entry));
    }
    return result;
}

} // namespace

std::string encode(const process_state& state)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    protocol encoder(buffer);
    to_wire(state).write(&encoder);
    return buffer->getBufferAsString();
}

process_state decode(std::string_view datagram)
{
    if (datagram.empty())
        throw exchange_error("empty datagram");
    // OBSERVE never writes to the buffer; the interface is only missing the const.
    auto* bytes = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(datagram.data()));
    const auto size = static_cast<std::uint32_t>(datagram.size());
    const auto buffer = std::make_shared<TMemoryBuffer>(bytes, size, TMemoryBuffer::OBSERVE);
    protocol input(buffer, static_cast<std::int32_t>(size), container_limit);
    wire::process_state parsed;
    try {
        parsed.read(&input);
    } catch (const apache::thrift::TException& error) {
        throw exchange_error(error.what());
    }
    if (buffer->available_read() != 0 || parsed.process.empty())
        throw exchange_error("not a state message");
    return from_wire(parsed);
}

} // namespace siskinwharf::exchange
