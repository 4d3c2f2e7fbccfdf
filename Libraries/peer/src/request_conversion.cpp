// Conversion of the messages about running requests.
#include "conversion.h"
#include "wire_values.h"

namespace siskinwharf::peer {

wire::locate_request to_wire(const locate_request& value)
{
    wire::locate_request result;
    result.request = value.request.value();
    return result;
}

locate_request from_wire(const wire::locate_request& value)
{
    return {request_id(value.request)};
}

wire::locate_reply to_wire(const locate_reply& value)
{
    wire::locate_reply result;
    result.request = value.request.value();
    result.state = to_byte(value.state);
    result.holder = value.holder.value();
    return result;
}

locate_reply from_wire(const wire::locate_reply& value)
{
    return {request_id(value.request), to_enum(value.state, locate_state::done), instance_id(value.holder)};
}

wire::handover_request to_wire(const handover_request& value)
{
    const request_record& record = value.record;
    wire::handover_request result;
    result.record.request = record.request.value();
    result.record.account = record.account.value();
    result.record.body = record.body;
    result.record.target = record.target;
    result.record.produced_tokens = to_signed(record.produced_tokens);
    result.record.produced = record.produced;
    result.record.delivered_offset = to_signed(record.delivered_offset);
    result.record.endpoint = record.endpoint.value();
    result.record.attempt = to_signed(record.attempt);
    result.record.deadline_remaining_ms = record.deadline_remaining.count();
    result.record.streaming = record.streaming;
    return result;
}

handover_request from_wire(const wire::handover_request& value)
{
    const wire::request_record& record = value.record;
    return {{request_id(record.request), account_id(record.account), record.body, record.target,
             to_unsigned(record.produced_tokens), record.produced, to_unsigned(record.delivered_offset),
             endpoint_id(record.endpoint), to_unsigned(record.attempt),
             to_duration(record.deadline_remaining_ms), record.streaming}};
}

wire::handover_reply to_wire(const handover_reply& value)
{
    wire::handover_reply result;
    result.request = value.request.value();
    result.accepted = value.accepted;
    return result;
}

handover_reply from_wire(const wire::handover_reply& value)
{
    return {request_id(value.request), value.accepted};
}

} // namespace siskinwharf::peer
