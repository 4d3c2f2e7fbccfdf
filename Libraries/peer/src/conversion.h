#pragma once

#include <peer_types.h>

#include "siskinwharf/peer/messages.h"

// Conversions between the public messages and the types that Thrift generates. `from_wire` throws
// `wire_error` where a value is out of range.
namespace siskinwharf::peer {

wire::ping to_wire(const ping& value);
wire::ack to_wire(const ack& value);
wire::ping_request to_wire(const ping_request& value);
wire::member_join to_wire(const member_join& value);
wire::member_sync to_wire(const member_sync& value);
wire::load_report to_wire(const load_report& value);
wire::endpoint_notices to_wire(const endpoint_notices& value);
wire::summary_request to_wire(const summary_request& value);
wire::summary_reply to_wire(const summary_reply& value);
wire::sheet_request to_wire(const sheet_request& value);
wire::sheet_reply to_wire(const sheet_reply& value);
wire::locate_request to_wire(const locate_request& value);
wire::locate_reply to_wire(const locate_reply& value);
wire::handover_request to_wire(const handover_request& value);
wire::handover_reply to_wire(const handover_reply& value);
wire::claim_status_request to_wire(const claim_status_request& value);
wire::claim_status_reply to_wire(const claim_status_reply& value);
wire::quarantine_update to_wire(const quarantine_update& value);
wire::isolation_request to_wire(const isolation_request& value);
wire::isolation_reply to_wire(const isolation_reply& value);
wire::claim_commit_request to_wire(const claim_commit_request& value);
wire::claim_commit_reply to_wire(const claim_commit_reply& value);
wire::rollout_state to_wire(const rollout_state& value);
wire::instance_changes to_wire(const instance_changes& value);
wire::instance_list_request to_wire(const instance_list_request& value);

ping from_wire(const wire::ping& value);
ack from_wire(const wire::ack& value);
ping_request from_wire(const wire::ping_request& value);
member_join from_wire(const wire::member_join& value);
member_sync from_wire(const wire::member_sync& value);
load_report from_wire(const wire::load_report& value);
endpoint_notices from_wire(const wire::endpoint_notices& value);
summary_request from_wire(const wire::summary_request& value);
summary_reply from_wire(const wire::summary_reply& value);
sheet_request from_wire(const wire::sheet_request& value);
sheet_reply from_wire(const wire::sheet_reply& value);
locate_request from_wire(const wire::locate_request& value);
locate_reply from_wire(const wire::locate_reply& value);
handover_request from_wire(const wire::handover_request& value);
handover_reply from_wire(const wire::handover_reply& value);
claim_status_request from_wire(const wire::claim_status_request& value);
claim_status_reply from_wire(const wire::claim_status_reply& value);
quarantine_update from_wire(const wire::quarantine_update& value);
isolation_request from_wire(const wire::isolation_request& value);
isolation_reply from_wire(const wire::isolation_reply& value);
claim_commit_request from_wire(const wire::claim_commit_request& value);
claim_commit_reply from_wire(const wire::claim_commit_reply& value);
rollout_state from_wire(const wire::rollout_state& value);
instance_changes from_wire(const wire::instance_changes& value);
instance_list_request from_wire(const wire::instance_list_request& value);

} // namespace siskinwharf::peer
