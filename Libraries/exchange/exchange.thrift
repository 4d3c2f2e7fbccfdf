// Wire format of the state that forwarding processes send each other. Meta/generate-peer.sh generates the C++ code.
// Field numbers are never reused and new fields are only added.
namespace cpp siskinwharf.exchange.wire

struct endpoint_load {
  1: string endpoint
  2: i32 running
  3: i64 waiting_tokens
  4: i32 expected_ms
  5: i32 measured_ms
}

struct account_use {
  1: string account
  2: i64 in_window
  3: i64 per_second
  4: i64 asked_per_second
  5: i64 age_ms
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
  108: i64 list_era
  109: i64 configuration_era
}

struct usage_update {
  201: string process
  202: i64 start
  203: list<window_usage> usage
  204: string failure_domain
}

// Sums over the processes of one failure domain, sent by its relays to those of other failure domains.
struct domain_report {
  301: string process
  302: i64 start
  303: i64 sequence
  304: string failure_domain
  305: i32 processes
  306: i32 coverage_permille
  307: list<account_use> accounts
  308: list<service_demand> services
  309: i64 counts_age_ms
  310: i64 lease_number
  311: i64 lease_age_ms
  312: i64 configuration_version
  313: i64 list_version
  314: i32 port
  315: i64 list_era
  316: i64 configuration_era
}

// Sums over all processes except the receiver, sent by the relays of a failure domain to its processes.
struct deployment_report {
  401: string process
  402: i64 start
  403: i64 sequence
  404: i32 processes
  405: i32 coverage_permille
  406: list<account_use> accounts
  407: i64 lease_number
  408: i64 lease_age_ms
}

// Use of the accounts that are close to their limit, between two reports. Sums over one failure domain, or, without
// one, over all processes except the receiver.
struct use_update {
  1001: string process
  1002: i64 start
  1003: i64 sequence
  1004: string failure_domain
  1005: list<account_use> accounts
}

// Contents of requests that crashed endpoints, as known to the sender from all processes.
struct quarantine_update {
  701: string process
  702: i64 start
  703: list<crash_record> crashes
}

struct part_crashes {
  1: i64 part
  2: i32 position
  3: list<i64> crashes
  4: list<i64> ages_ms
  5: i64 answered_age_ms = -1
}

// Prompt parts whose requests crashed endpoints, as known to the sender from all processes.
struct part_crash_update {
  501: string process
  502: i64 start
  503: list<part_crashes> parts
}

struct endpoint_limit {
  1: string endpoint
  2: i64 started_ms
  3: i64 per_thousand_seconds = -1
  4: i64 age_ms
  5: optional bool is_leaving
}

// What endpoints said lately of the requests that they take.
struct endpoint_limit_update {
  601: string process
  602: i64 start
  603: list<endpoint_limit> limits
}

// Streams of one service that one software version began.
struct stream_group {
  1: string name
  2: string software
  3: list<i64> streams
}

// Streams that began at the sender, while endpoints of several software versions serve.
struct stream_update {
  801: string process
  802: i64 start
  803: list<stream_group> groups
}

// Streams of which the sender wants to know the software version that began them. Answered by a stream_update.
struct stream_query {
  901: string process
  902: i64 start
  903: i32 port
  904: list<i64> streams
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
  15: list<crash_record> crashes // No longer sent: quarantine_update.
  16: i64 uptime_ms
  17: i64 list_era
  18: i64 configuration_era
  19: i64 era_age_ms
}
