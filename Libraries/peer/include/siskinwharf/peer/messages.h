#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::peer {

/// IP address and port at which an entry process receives peer messages, the same port for UDP and TCP.
struct address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// State of an entry process as its peers see it, in the order in which the states override each other at the
/// same incarnation.
enum class member_state : std::uint8_t { alive, suspected, dead, left };

/// What one entry process claims about another. Only the member itself raises its incarnation.
struct member_update {
    instance_id member;
    address contact;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0;

    auto operator<=>(const member_update&) const = default;
};

/// State of an endpoint, in the order in which the states override each other at the same incarnation.
enum class endpoint_state : std::uint8_t { live, leaving, dead };

/// What one entry process claims about an endpoint. The incarnation is the start time of the endpoint's
/// instance in milliseconds since the epoch.
struct endpoint_notice {
    endpoint_id endpoint;
    endpoint_state state = endpoint_state::live;
    std::uint64_t incarnation = 0;

    auto operator<=>(const endpoint_notice&) const = default;
};

/// News that travels with every probe message.
struct gossip {
    std::vector<member_update> members;
    std::vector<endpoint_notice> endpoints;
    std::uint64_t sheet_version = 0; ///< Newest version that the sender knows.

    auto operator<=>(const gossip&) const = default;
};

/// Asks the recipient for an `ack` with the same number.
struct ping {
    std::uint64_t number = 0;
    gossip news;

    auto operator<=>(const ping&) const = default;
};

/// Answers a `ping`, or reports to the sender of a `ping_request` that its target answered.
struct ack {
    std::uint64_t number = 0;
    gossip news;

    auto operator<=>(const ack&) const = default;
};

/// Asks the recipient to probe `target` and to send an `ack` with this number if the target answers.
struct ping_request {
    std::uint64_t number = 0;
    instance_id target;
    address contact;
    gossip news;

    auto operator<=>(const ping_request&) const = default;
};

/// Announces a started process; the reply is a `member_sync`.
struct member_join {
    member_update member;

    auto operator<=>(const member_join&) const = default;
};

/// Everything the sender knows about the members and the departed endpoints of its failure domain.
struct member_sync {
    gossip state;

    auto operator<=>(const member_sync&) const = default;
};

/// Load of one endpoint as seen by the entry process that polls it.
struct load_digest {
    std::uint32_t endpoint_key = 0; ///< See `endpoint_key(endpoint_id)`.
    std::uint32_t in_flight = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t sequence = 0; ///< Rises with each poll; a lower one is stale.

    auto operator<=>(const load_digest&) const = default;
};

/// Shortens an endpoint's id for load digests. With 88 endpoints in a failure domain, the probability of any
/// collision is below one in a million; a receiver that knows two endpoints with one key ignores the digest.
[[nodiscard]] std::uint32_t endpoint_key(const endpoint_id& endpoint);

/// Loads of the endpoints that the sender polls.
struct load_report {
    std::vector<load_digest> loads;

    auto operator<=>(const load_report&) const = default;
};

/// Reports leaving or dead endpoints directly, without waiting for the next probe. The recipient confirms it
/// with an `ack` of the same number.
struct endpoint_notices {
    std::uint64_t number = 0; ///< 0: from a process that expects no confirmation.
    std::vector<endpoint_notice> notices;

    auto operator<=>(const endpoint_notices&) const = default;
};

/// Capacity of one model version in a failure domain.
struct summary_row {
    model_id model;
    std::string version;
    std::uint32_t healthy = 0;    ///< Replicas that accept new work.
    std::uint32_t free_slots = 0; ///< Requests that can start at once.
    std::uint32_t price = 0;      ///< Cents for a million generated tokens.

    auto operator<=>(const summary_row&) const = default;
};

/// Compact capacity of a failure domain. A higher sequence is newer.
struct domain_summary {
    failure_domain_id domain;
    std::uint64_t sequence = 0; ///< Milliseconds since the epoch at which the summary was made.
    std::vector<summary_row> rows;

    auto operator<=>(const domain_summary&) const = default;
};

/// Which summary of a failure domain the sender has.
struct summary_version {
    failure_domain_id domain;
    std::uint64_t sequence = 0;

    auto operator<=>(const summary_version&) const = default;
};

/// Gives the sender's own summary and asks for all that are newer than the known ones.
struct summary_request {
    domain_summary own;
    std::vector<summary_version> known;

    auto operator<=>(const summary_request&) const = default;
};

/// Summaries that are newer than the known ones of a `summary_request`.
struct summary_reply {
    std::vector<domain_summary> newer;

    auto operator<=>(const summary_reply&) const = default;
};

/// Asks for the text of a sheet; version 0 asks for the newest.
struct sheet_request {
    std::uint64_t version = 0;

    auto operator<=>(const sheet_request&) const = default;
};

/// The text of a sheet; version 0 with an empty text when the sender has no such version.
struct sheet_reply {
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const sheet_reply&) const = default;
};

/// Asks whether the recipient holds a request.
struct locate_request {
    request_id request;

    auto operator<=>(const locate_request&) const = default;
};

enum class locate_state : std::uint8_t { unknown, running, done };

/// Says which entry process holds the record of a request, as far as the sender knows.
struct locate_reply {
    request_id request;
    locate_state state = locate_state::unknown;
    instance_id holder; ///< Empty if the state is unknown.

    auto operator<=>(const locate_reply&) const = default;
};

/// The whole state of an accepted request, from which a peer continues it.
struct request_record {
    request_id request;
    account_id account;
    std::string body;   ///< The caller's whole request body.
    std::string target; ///< Name of the model or service.
    std::uint64_t produced_tokens = 0;
    std::string produced;               ///< Bytes of the answer so far.
    std::uint64_t delivered_offset = 0; ///< First token that the caller has not received.
    endpoint_id endpoint;
    std::uint32_t attempt = 0;
    milliseconds deadline_remaining{0}; ///< A duration, because peers share no monotonic clock.
    bool streaming = false;

    auto operator<=>(const request_record&) const = default;
};

/// Hands a request over. The sender stops serving it only after an accepting `handover_reply`.
struct handover_request {
    request_record record;

    auto operator<=>(const handover_request&) const = default;
};

/// Whether the sender now holds the record.
struct handover_reply {
    request_id request;
    bool accepted = false;

    auto operator<=>(const handover_reply&) const = default;
};

/// Asks the holder of a claim what became of its attempt.
struct claim_status_request {
    account_id account;
    std::string key; ///< The caller's idempotency key.
    std::uint64_t attempt = 0;

    auto operator<=>(const claim_status_request&) const = default;
};

/// State of a claim. Only the holder may answer `voided`: the call did not run and will not run.
enum class claim_state : std::uint8_t { unknown, running, voided, done };

/// Answer to a `claim_status_request`.
struct claim_status_reply {
    claim_state state = claim_state::unknown;
    std::uint64_t attempt = 0;
    std::string
        final_row; ///< Value of the claim's row with the response, for `done`; empty from older processes.

    auto operator<=>(const claim_status_reply&) const = default;
};

/// Which crashes of endpoints a request is suspected of, by account and content digest.
struct quarantine_entry {
    account_id account;
    std::string content_digest;         ///< SHA-256 as 32 raw bytes.
    std::vector<std::uint64_t> crashes; ///< Numbers that are the same at all entry processes.
    /// Until the entry expires: a duration, because peers share no monotonic clock. Zero clears a suspect.
    milliseconds remaining{0};

    auto operator<=>(const quarantine_entry&) const = default;
};

/// Entries that the recipient merges with its own. As a request over TCP without entries it asks for those of
/// the recipient; as a request with entries it asks for an empty update that confirms them.
struct quarantine_update {
    std::vector<quarantine_entry> entries;

    auto operator<=>(const quarantine_update&) const = default;
};

/// Asks the recipient to send no new work to an endpoint while a suspect request runs there alone. A hold of
/// zero ends the isolation.
struct isolation_request {
    endpoint_id endpoint;
    request_id request; ///< `<account>:<content digest>`: the same for all copies of the suspect.
    milliseconds hold{0};

    auto operator<=>(const isolation_request&) const = default;
};

/// Whether the sender keeps the endpoint clear, and how many of its requests still run there.
struct isolation_reply {
    bool granted = false;
    std::uint32_t in_flight = 0;

    auto operator<=>(const isolation_reply&) const = default;
};

/// One conditional write of a claim row.
struct claim_write {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Required version of the row; 0 if it must not exist.

    auto operator<=>(const claim_write&) const = default;
};

/// Asks the committer of the failure domain to write claim rows, each for itself.
struct claim_commit_request {
    std::vector<claim_write> writes;
    milliseconds wait{0}; ///< After which the sender wants an answer, with or without the table's.

    auto operator<=>(const claim_commit_request&) const = default;
};

/// What became of a claim write. `unavailable`: it was not sent to the table and will not be. `uncertain`: it
/// was sent and may still take effect.
enum class claim_write_state : std::uint8_t { committed, conflict, unavailable, uncertain };

/// Result of one claim write.
struct claim_write_result {
    claim_write_state state = claim_write_state::uncertain;
    std::string current;       ///< Value of the row on a conflict.
    std::uint64_t version = 0; ///< Version of the row on a conflict; 0 if there is none.

    auto operator<=>(const claim_write_result&) const = default;
};

/// Answer to a `claim_commit_request`. If it was not accepted, none of its writes will be sent to the table;
/// otherwise there is one result for each write, in order.
struct claim_commit_reply {
    bool accepted = false;
    std::vector<claim_write_result> results;

    auto operator<=>(const claim_commit_reply&) const = default;
};

/// What the lease holder of a failure domain has read back from one of its model engines.
struct endpoint_version {
    endpoint_id endpoint;
    model_id model;
    std::string version;
    /// Time until its streams must have left it, if it gets no new work until its configuration has changed.
    std::optional<milliseconds> drained;

    auto operator<=>(const endpoint_version&) const = default;
};

/// Versions and drains of some endpoints. Of two states of an endpoint the one with the higher fencing token,
/// then sequence is newer.
struct rollout_state {
    std::uint64_t fencing = 0;
    std::uint64_t sequence = 0;
    std::vector<endpoint_version> endpoints;

    auto operator<=>(const rollout_state&) const = default;
};

/// What an instance serves.
enum class workload_kind : std::uint8_t { entry, model, service };

/// One record of the platform's instance list.
struct instance_entry {
    instance_id id;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t peer_port = 0; ///< Of an entry process.
    failure_domain_id domain;
    region_id region;
    workload_kind kind = workload_kind::entry;
    std::string serves;  ///< Name of the model or service.
    std::string version; ///< Of the model.
    bool leaving = false;
    std::optional<milliseconds> leaves_in; ///< Counted from when the message was made.
    std::uint64_t started_ms = 0;          ///< Since the epoch.
    std::uint32_t capacity = 0;
    std::string machine_class;
    std::uint64_t price_microcents_per_second = 0;
    bool reclaimable = false;

    auto operator<=>(const instance_entry&) const = default;
};

/// What changed in the instance list between two states, each named by the digest of its records. Without
/// changes it says that the list was read just now and is the one with this digest.
struct instance_changes {
    std::uint64_t version = 0;     ///< Milliseconds since the epoch; a higher one is newer. 0: no list.
    std::uint64_t base_digest = 0; ///< The state to which the changes apply.
    std::uint64_t digest = 0;      ///< The state after the changes.
    std::string tag;               ///< The platform's tag of that state; empty if it gives none.
    bool whole = false;            ///< `put` is the whole list.
    std::vector<instance_entry> put;
    std::vector<instance_id> removed;

    auto operator<=>(const instance_changes&) const = default;
};

/// Asks for `instance_changes` from one of these states to the recipient's.
struct instance_list_request {
    std::vector<std::uint64_t> digests; ///< The sender's states, the present one first; empty without a list.

    auto operator<=>(const instance_list_request&) const = default;
};

/// All messages. The position of a type is its number in the frame: append new ones at the end.
using message =
    std::variant<ping, ack, ping_request, member_join, member_sync, load_report, endpoint_notices,
                 summary_request, summary_reply, sheet_request, sheet_reply, locate_request, locate_reply,
                 handover_request, handover_reply, claim_status_request, claim_status_reply,
                 quarantine_update, isolation_request, isolation_reply, claim_commit_request,
                 claim_commit_reply, rollout_state, instance_changes, instance_list_request>;

} // namespace siskinwharf::peer
