// Wire format of the state that forwarding processes send each other. Meta/generate-peer.sh generates the C++ code.
// Field numbers are never reused and new fields are only added.
namespace cpp siskinwharf.exchange.wire

struct endpoint_load {
  1: string endpoint
  2: i32 running
  3: i64 waiting_tokens
}

struct account_use {
  1: string account
  2: i64 in_window
  3: i64 per_second
}

struct window_usage {
  1: i64 window
  2: map<string, i64> counts
}

struct service_demand {
  1: string name
  2: i64 tokens_per_second
  3: i64 running
}

struct crash_record {
  1: string account
  2: string digest
  3: list<i64> crashes
  4: i64 remaining_ms
}

// Told at once to near peers. Its numbers differ from those of process_state, so that neither is read as the other.
struct near_update {
  101: string process
  102: i64 start
  103: list<endpoint_load> loads
  104: i64 configuration_version
  105: i64 list_version
  106: bool is_reading
  107: i64 store_answer_age_ms
}

struct usage_update {
  201: string process
  202: i64 start
  203: list<window_usage> usage
}

struct process_state {
  1: string process
  2: i64 start
  3: i64 sequence
  4: i64 wall_ms
  5: i64 configuration_version
  6: i64 list_version
  7: i32 port
  8: bool is_leaving
  9: i64 lease_number
  10: string failure_domain
  11: list<endpoint_load> loads
  12: list<account_use> accounts
  13: list<window_usage> usage
  14: list<service_demand> services
  15: list<crash_record> crashes
  16: i64 uptime_ms
}
