#include "conversion.h"

#include <array>
#include <type_traits>

#include "siskinwharf/base/hash.h"
#include "wire_values.h"

namespace siskinwharf::peer {

namespace {

wire::address to_wire(const address& value)
{
    wire::address result;
    result.host = value.host;
    result.port = value.port;
    return result;
}

address from_wire(const wire::address& value)
{
    return {value.host, to_port(value.port)};
}

wire::member_update to_wire(const member_update& value)
{
    wire::member_update result;
    result.member = value.member.value();
    result.contact = to_wire(value.contact);
    result.state = to_byte(value.state);
    result.incarnation = to_signed(value.incarnation);
    return result;
}

member_update from_wire(const wire::member_update& value)
{
    return {instance_id(value.member), from_wire(value.contact), to_enum(value.state, member_state::left),
            to_unsigned(value.incarnation)};
}

wire::endpoint_notice to_wire(const endpoint_notice& value)
{
    wire::endpoint_notice result;
    result.endpoint = value.endpoint.value();
    result.state = to_byte(value.state);
    result.incarnation = to_signed(value.incarnation);
    return result;
}

endpoint_notice from_wire(const wire::endpoint_notice& value)
{
    return {endpoint_id(value.endpoint), to_enum(value.state, endpoint_state::dead),
            to_unsigned(value.incarnation)};
}

wire::summary_row to_wire(const summary_row& value)
{
    wire::summary_row result;
    result.model = value.model.value();
    result.version = value.version;
    result.healthy = to_signed(value.healthy);
    result.free_slots = to_signed(value.free_slots);
    result.price = to_signed(value.price);
    return result;
}

summary_row from_wire(const wire::summary_row& value)
{
    return {model_id(value.model), value.version, to_unsigned(value.healthy), to_unsigned(value.free_slots),
            to_unsigned(value.price)};
}

wire::summary_version to_wire(const summary_version& value)
{
    wire::summary_version result;
    result.domain = value.domain.value();
    result.sequence = to_signed(value.sequence);
    return result;
}

summary_version from_wire(const wire::summary_version& value)
{
    return {failure_domain_id(value.domain), to_unsigned(value.sequence)};
}

wire::quarantine_entry to_wire(const quarantine_entry& value)
{
    wire::quarantine_entry result;
    result.account = value.account.value();
    result.digest = value.content_digest;
    for (const auto crash : value.crashes)
        result.crash_numbers.push_back(to_signed(crash));
    result.remaining_ms = value.remaining.count();
    return result;
}

quarantine_entry from_wire(const wire::quarantine_entry& value)
{
    quarantine_entry result{account_id(value.account), value.digest, {}, to_duration(value.remaining_ms)};
    for (const auto crash : value.crash_numbers)
        result.crashes.push_back(to_unsigned(crash));
    return result;
}

wire::claim_write to_wire(const claim_write& value)
{
    wire::claim_write result;
    result.key = value.key;
    result.value = value.value;
    result.version = to_signed(value.version);
    return result;
}

claim_write from_wire(const wire::claim_write& value)
{
    return {value.key, value.value, to_unsigned(value.version)};
}

wire::claim_write_result to_wire(const claim_write_result& value)
{
    wire::claim_write_result result;
    result.state = to_byte(value.state);
    result.current = value.current;
    result.version = to_signed(value.version);
    return result;
}

claim_write_result from_wire(const wire::claim_write_result& value)
{
    return {to_enum(value.state, claim_write_state::uncertain), value.current, to_unsigned(value.version)};
}

// Declared here because summaries are elements of lists and contain one themselves.
wire::domain_summary to_wire(const domain_summary& value);
domain_summary from_wire(const wire::domain_summary& value);

// Converts each element with `to_wire`.
template<typename Element>
auto list_to_wire(const std::vector<Element>& values)
{
    std::vector<decltype(to_wire(std::declval<const Element&>()))> result;
    result.reserve(values.size());
    for (const Element& value : values)
        result.push_back(to_wire(value));
    return result;
}

// Converts each element with `from_wire`.
template<typename Element>
auto list_from_wire(const std::vector<Element>& values)
{
    std::vector<decltype(from_wire(std::declval<const Element&>()))> result;
    result.reserve(values.size());
    for (const Element& value : values)
        result.push_back(from_wire(value));
    return result;
}

wire::domain_summary to_wire(const domain_summary& value)
{
    wire::domain_summary result;
    result.domain = value.domain.value();
    result.sequence = to_signed(value.sequence);
    result.rows = list_to_wire(value.rows);
    return result;
}

domain_summary from_wire(const wire::domain_summary& value)
{
    return {failure_domain_id(value.domain), to_unsigned(value.sequence), list_from_wire(value.rows)};
}

wire::gossip to_wire(const gossip& value)
{
    wire::gossip result;
    result.members = list_to_wire(value.members);
    result.endpoints = list_to_wire(value.endpoints);
    result.sheet_version = to_signed(value.sheet_version);
    return result;
}

gossip from_wire(const wire::gossip& value)
{
    return {list_from_wire(value.members), list_from_wire(value.endpoints), to_unsigned(value.sheet_version)};
}

} // namespace

std::uint32_t endpoint_key(const endpoint_id& endpoint)
{
    return static_cast<std::uint32_t>(hash64(endpoint.value()));
}

wire::ping to_wire(const ping& value)
{
    wire::ping result;
    result.number = to_signed(value.number);
    result.news = to_wire(value.news);
    return result;
}

ping from_wire(const wire::ping& value)
{
    return {to_unsigned(value.number), from_wire(value.news)};
}

wire::ack to_wire(const ack& value)
{
    wire::ack result;
    result.number = to_signed(value.number);
    result.news = to_wire(value.news);
    return result;
}

ack from_wire(const wire::ack& value)
{
    return {to_unsigned(value.number), from_wire(value.news)};
}

wire::ping_request to_wire(const ping_request& value)
{
    wire::ping_request result;
    result.number = to_signed(value.number);
    result.target = value.target.value();
    result.contact = to_wire(value.contact);
    result.news = to_wire(value.news);
    return result;
}

ping_request from_wire(const wire::ping_request& value)
{
    return {to_unsigned(value.number), instance_id(value.target), from_wire(value.contact),
            from_wire(value.news)};
}

wire::member_join to_wire(const member_join& value)
{
    wire::member_join result;
    result.member = to_wire(value.member);
    return result;
}

member_join from_wire(const wire::member_join& value)
{
    return {from_wire(value.member)};
}

wire::member_sync to_wire(const member_sync& value)
{
    wire::member_sync result;
    result.state = to_wire(value.state);
    return result;
}

member_sync from_wire(const wire::member_sync& value)
{
    return {from_wire(value.state)};
}

wire::load_report to_wire(const load_report& value)
{
    wire::load_report result;
    for (const auto& [key, in_flight, free_slots, sequence] : value.loads) {
        result.endpoint_keys.push_back(to_signed(key));
        result.in_flight.push_back(to_signed(in_flight));
        result.free_slots.push_back(to_signed(free_slots));
        result.sequences.push_back(to_signed(sequence));
    }
    return result;
}

load_report from_wire(const wire::load_report& value)
{
    const std::size_t size = value.endpoint_keys.size();
    if (value.in_flight.size() != size || value.free_slots.size() != size || value.sequences.size() != size)
        throw wire_error("lists of different lengths");
    load_report result;
    result.loads.reserve(size);
    for (std::size_t index = 0; index < size; ++index) {
        result.loads.push_back({to_unsigned(value.endpoint_keys[index]), to_unsigned(value.in_flight[index]),
                                to_unsigned(value.free_slots[index]), to_unsigned(value.sequences[index])});
    }
    return result;
}

wire::endpoint_notices to_wire(const endpoint_notices& value)
{
    wire::endpoint_notices result;
    result.number = to_signed(value.number);
    result.notices = list_to_wire(value.notices);
    return result;
}

endpoint_notices from_wire(const wire::endpoint_notices& value)
{
    return {to_unsigned(value.number), list_from_wire(value.notices)};
}

wire::summary_request to_wire(const summary_request& value)
{
    wire::summary_request result;
    result.own = to_wire(value.own);
    result.known = list_to_wire(value.known);
    return result;
}

summary_request from_wire(const wire::summary_request& value)
{
    return {from_wire(value.own), list_from_wire(value.known)};
}

wire::summary_reply to_wire(const summary_reply& value)
{
    wire::summary_reply result;
    result.newer = list_to_wire(value.newer);
    return result;
}

summary_reply from_wire(const wire::summary_reply& value)
{
    return {list_from_wire(value.newer)};
}

wire::sheet_request to_wire(const sheet_request& value)
{
    wire::sheet_request result;
    result.version = to_signed(value.version);
    return result;
}

sheet_request from_wire(const wire::sheet_request& value)
{
    return {to_unsigned(value.version)};
}

wire::sheet_reply to_wire(const sheet_reply& value)
{
    wire::sheet_reply result;
    result.version = to_signed(value.version);
    result.text = value.text;
    return result;
}

sheet_reply from_wire(const wire::sheet_reply& value)
{
    return {to_unsigned(value.version), value.text};
}

wire::claim_status_request to_wire(const claim_status_request& value)
{
    wire::claim_status_request result;
    result.account = value.account.value();
    result.key = value.key;
    result.attempt = to_signed(value.attempt);
    return result;
}

claim_status_request from_wire(const wire::claim_status_request& value)
{
    return {account_id(value.account), value.key, to_unsigned(value.attempt)};
}

wire::claim_status_reply to_wire(const claim_status_reply& value)
{
    wire::claim_status_reply result;
    result.state = to_byte(value.state);
    result.attempt = to_signed(value.attempt);
    result.final_row = value.final_row;
    return result;
}

claim_status_reply from_wire(const wire::claim_status_reply& value)
{
    return {to_enum(value.state, claim_state::done), to_unsigned(value.attempt), value.final_row};
}

wire::quarantine_update to_wire(const quarantine_update& value)
{
    wire::quarantine_update result;
    result.entries = list_to_wire(value.entries);
    return result;
}

quarantine_update from_wire(const wire::quarantine_update& value)
{
    return {list_from_wire(value.entries)};
}

wire::isolation_request to_wire(const isolation_request& value)
{
    wire::isolation_request result;
    result.endpoint = value.endpoint.value();
    result.request = value.request.value();
    result.hold_ms = value.hold.count();
    return result;
}

isolation_request from_wire(const wire::isolation_request& value)
{
    return {endpoint_id(value.endpoint), request_id(value.request), to_duration(value.hold_ms)};
}

wire::isolation_reply to_wire(const isolation_reply& value)
{
    wire::isolation_reply result;
    result.granted = value.granted;
    result.in_flight = to_signed(value.in_flight);
    return result;
}

isolation_reply from_wire(const wire::isolation_reply& value)
{
    return {value.granted, to_unsigned(value.in_flight)};
}

wire::claim_commit_request to_wire(const claim_commit_request& value)
{
    wire::claim_commit_request result;
    result.writes = list_to_wire(value.writes);
    result.wait_ms = value.wait.count();
    return result;
}

claim_commit_request from_wire(const wire::claim_commit_request& value)
{
    return {list_from_wire(value.writes), to_duration(value.wait_ms)};
}

wire::claim_commit_reply to_wire(const claim_commit_reply& value)
{
    wire::claim_commit_reply result;
    result.accepted = value.accepted;
    result.results = list_to_wire(value.results);
    return result;
}

claim_commit_reply from_wire(const wire::claim_commit_reply& value)
{
    return {value.accepted, list_from_wire(value.results)};
}

} // namespace siskinwharf::peer
