// Wire format of the messages between entry processes. Meta/generate-peer.sh generates the C++ code.
// Field numbers are never reused and new fields are only added, so that processes of neighbouring versions
// understand each other. Unsigned integers travel as signed ones of the same width.
namespace cpp siskinwharf.peer.wire

struct address {
  1: string host
  2: i32 port
}

struct member_update {
  1: string member
  2: address contact
  3: i8 state
  4: i64 incarnation
}

struct endpoint_notice {
  1: string endpoint
  2: i8 state
  3: i64 incarnation
}

struct gossip {
  1: list<member_update> members
  2: list<endpoint_notice> endpoints
  3: i64 sheet_version
}

struct ping {
  1: i64 number
  2: gossip news
}

struct ack {
  1: i64 number
  2: gossip news
}

struct ping_request {
  1: i64 number
  2: string target
  3: address contact
  4: gossip news
}

struct member_join {
  1: member_update member
}

struct member_sync {
  1: gossip state
}

// One list for each field: a list of structs would cost five more bytes for each endpoint.
struct load_report {
  1: list<i32> endpoint_keys
  2: list<i32> in_flight
  3: list<i32> free_slots
  4: list<i32> sequences
}

struct endpoint_notices {
  1: list<endpoint_notice> notices
  2: i64 number
}

struct summary_row {
  1: string model
  2: string version
  3: i32 healthy
  4: i32 free_slots
  5: i32 price
}

struct domain_summary {
  1: string domain
  2: i64 sequence
  3: list<summary_row> rows
}

struct summary_version {
  1: string domain
  2: i64 sequence
}

struct summary_request {
  1: domain_summary own
  2: list<summary_version> known
}

struct summary_reply {
  1: list<domain_summary> newer
}

struct sheet_request {
  1: i64 version
}

struct sheet_reply {
  1: i64 version
  2: string text
}

struct locate_request {
  1: string request
}

struct locate_reply {
  1: string request
  2: i8 state
  3: string holder
}

struct request_record {
  1: string request
  2: string account
  3: binary body
  4: string target
  5: i64 produced_tokens
  6: binary produced
  7: i64 delivered_offset
  8: string endpoint
  9: i32 attempt
  10: i64 deadline_remaining_ms
  11: bool streaming
}

struct handover_request {
  1: request_record record
}

struct handover_reply {
  1: string request
  2: bool accepted
}

struct claim_status_request {
  1: string account
  2: string key
  3: i64 attempt
}

// Field 3 is empty unless the state is `done`. Older processes do not send it.
struct claim_status_reply {
  1: i8 state
  2: i64 attempt
  3: binary final_row
}

// Field 3 was a count of crashes, which no process has ever sent.
struct quarantine_entry {
  1: string account
  2: binary digest
  4: list<i64> crash_numbers
  5: i64 remaining_ms
}

struct quarantine_update {
  1: list<quarantine_entry> entries
}

struct isolation_request {
  1: string endpoint
  2: string request
  3: i64 hold_ms
}

struct isolation_reply {
  1: bool granted
  2: i32 in_flight
}

// Version 0 means that the row must not exist.
struct claim_write {
  1: string key
  2: binary value
  3: i64 version
}

struct claim_commit_request {
  1: list<claim_write> writes
  2: i64 wait_ms
}

struct claim_write_result {
  1: i8 state
  2: binary current
  3: i64 version
}

struct claim_commit_reply {
  1: bool accepted
  2: list<claim_write_result> results
}

struct endpoint_version {
  1: string endpoint
  2: string model
  3: string version
  4: i64 drained_ms
}

struct rollout_state {
  1: i64 fencing
  2: i64 sequence
  3: list<endpoint_version> endpoints
}

// One instance of the platform's list.
struct instance_entry {
  1: string id
  2: string address
  3: i32 port
  4: i32 peer_port
  5: string domain
  6: string region
  7: i8 kind
  8: string serves
  9: string version
  10: bool leaving
  11: i64 leaves_in_ms
  12: i64 started_ms
  13: i32 capacity
  14: string machine_class
  15: i64 price
  16: bool reclaimable
}

struct instance_changes {
  1: i64 version
  2: i64 base_digest
  3: i64 digest
  4: string tag
  5: bool whole
  6: list<instance_entry> put
  7: list<string> removed
}

struct instance_list_request {
  1: list<i64> digests
}
