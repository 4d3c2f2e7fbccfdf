#include "conversion.h"
#include "wire_values.h"

namespace siskinwharf::peer {

namespace {

/// Stands for a time until leaving that is not known.
constexpr std::int64_t unknown_time = -1;

wire::instance_entry to_wire(const instance_entry& value)
{
    wire::instance_entry result;
    result.id = value.id.value();
    result.address = value.address;
    result.port = value.port;
    result.peer_port = value.peer_port;
    result.domain = value.domain.value();
    result.region = value.region.value();
    result.kind = to_byte(value.kind);
    result.serves = value.serves;
    result.version = value.version;
    result.leaving = value.leaving;
    result.leaves_in_ms = value.leaves_in ? value.leaves_in->count() : unknown_time;
    result.started_ms = to_signed(value.started_ms);
    result.capacity = to_signed(value.capacity);
    result.machine_class = value.machine_class;
    result.price = to_signed(value.price_microcents_per_second);
    result.reclaimable = value.reclaimable;
    return result;
}

instance_entry from_wire(const wire::instance_entry& value)
{
    instance_entry result;
    result.id = instance_id(value.id);
    result.address = value.address;
    result.port = to_port(value.port);
    result.peer_port = to_port(value.peer_port);
    result.domain = failure_domain_id(value.domain);
    result.region = region_id(value.region);
    result.kind = to_enum(value.kind, workload_kind::service);
    result.serves = value.serves;
    result.version = value.version;
    result.leaving = value.leaving;
    if (value.leaves_in_ms >= 0)
        result.leaves_in = to_duration(value.leaves_in_ms);
    result.started_ms = to_unsigned(value.started_ms);
    result.capacity = to_unsigned(value.capacity);
    result.machine_class = value.machine_class;
    result.price_microcents_per_second = to_unsigned(value.price);
    result.reclaimable = value.reclaimable;
    return result;
}

} // namespace

wire::instance_changes to_wire(const instance_changes& value)
{
    wire::instance_changes result;
    result.version = to_signed(value.version);
    result.base_digest = to_signed(value.base_digest);
    result.digest = to_signed(value.digest);
    result.tag = value.tag;
    result.whole = value.whole;
    result.put.reserve(value.put.size());
    for (const auto& entry : value.put)
        result.put.push_back(to_wire(entry));
    result.removed.reserve(value.removed.size());
    for (const auto& id : value.removed)
        result.removed.push_back(id.value());
    return result;
}

instance_changes from_wire(const wire::instance_changes& value)
{
    instance_changes result;
    result.version = to_unsigned(value.version);
    result.base_digest = to_unsigned(value.base_digest);
    result.digest = to_unsigned(value.digest);
    result.tag = value.tag;
    result.whole = value.whole;
    result.put.reserve(value.put.size());
    for (const auto& entry : value.put)
        result.put.push_back(from_wire(entry));
    result.removed.reserve(value.removed.size());
    for (const auto& id : value.removed)
        result.removed.emplace_back(id);
    return result;
}

wire::instance_list_request to_wire(const instance_list_request& value)
{
    wire::instance_list_request result;
    for (const std::uint64_t digest : value.digests)
        result.digests.push_back(to_signed(digest));
    return result;
}

instance_list_request from_wire(const wire::instance_list_request& value)
{
    instance_list_request result;
    for (const std::int64_t digest : value.digests)
        result.digests.push_back(to_unsigned(digest));
    return result;
}

} // namespace siskinwharf::peer
