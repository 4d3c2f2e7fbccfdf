#pragma once

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_action.h"
#include "siskinwharf/claims/claim_row.h"

namespace siskinwharf::claims {

/// Delay before each attempt to read a row back after a write with an unknown result. The claim gives up when
/// the last of these reads fails.
inline constexpr std::array read_back_delays{milliseconds{0}, milliseconds{50}, milliseconds{200}};

/// Maximum number of claim writes for one attempt. Each write after the first follows a change of the row by
/// another attempt. Beyond the maximum, the call is refused with `refusal_reason::contention`.
inline constexpr unsigned maximum_claim_writes = 4;

/// Maximum number of times a final row is rewritten after a version conflict. One conflict is normal: a
/// delayed claim write can take effect just before the void row that is meant to block it.
inline constexpr unsigned maximum_final_write_retries = 2;

/// Parameters of one attempt at a non-idempotent call.
struct claim_request {
    claim_identity identity;
    attempt_number attempt = 0;
    std::string holder;         ///< Peer address of the entry process that makes the attempt.
    std::string request_digest; ///< SHA-256 of the request body.
    std::string release_token;  ///< Token that the caller presented, or empty.
};

/// Final row that is not known to be written and has to be retried in the background. `condition` is the
/// write condition of the most recent try.
struct pending_final_write {
    std::string row_key;
    claim_row row;
    cloud::write_condition condition;

    auto operator<=>(const pending_final_write&) const = default;
};

/// Result of comparing the current row with the final row that an attempt wants to write: the final row is
/// stored, another row has taken its place, or the write can be retried.
enum class final_write_check { written, superseded, retry };

/// Checks whether the final row is already stored, can no longer be written, or should be written again. To
/// retry, write it under `final_write.condition`, which this function updates to match the current row.
[[nodiscard]] final_write_check check_final_write(pending_final_write& final_write,
                                                  const std::optional<cloud::table_row>& current);

/// State machine of one attempt at a non-idempotent call. Each event handler returns the next action for the
/// caller to execute. A claim returns `may_send` at most once and never after a refusal. Not thread-safe.
class claim {
public:
    enum class phase { created, claiming, reading_back, voiding, asking, sending, storing, ended };

    /// `signing_key` is the key for release tokens. It comes from the settings and is identical in all entry
    /// processes.
    claim(claim_request request, std::string signing_key);

    /// Starts the claim by inserting its row on condition that the row does not exist.
    [[nodiscard]] claim_action start();
    /// Handles the result of the last `write_table`. A conflict must list exactly the row of this claim.
    [[nodiscard]] claim_action on_commit(const cloud::commit_result& result);
    /// Handles the result of the last `read_table`.
    [[nodiscard]] claim_action on_read(const cloud::read_result& result);
    /// Handles the reply to the last `ask_holder`.
    [[nodiscard]] claim_action on_holder_reply(const holder_reply& reply);
    /// Stops waiting for the table or the holder, for example when the deadline is near. Has no effect while
    /// the attempt is sending, because the endpoint may already have received the request.
    [[nodiscard]] claim_action give_up();

    /// Call this when the attempt sent no byte of its request and will not send any.
    [[nodiscard]] claim_action on_not_sent();
    /// Call this when the response is complete. The caller gets it without waiting for the table write.
    [[nodiscard]] claim_action on_finished(stored_response response);
    /// Call this when the connection broke after the first byte was sent and before the response was
    /// complete.
    [[nodiscard]] claim_action on_connection_broken();

    [[nodiscard]] attempt_number attempt() const { return m_request.attempt; }
    /// Returns the reply to a peer that asks about the state of this attempt.
    [[nodiscard]] holder_reply reply_to_peer() const;
    /// Returns the final write that is unconfirmed after the claim has ended, for a retry in the background.
    /// Returns `std::nullopt` while the claim is running, if there is no such write, and after it was
    /// returned once.
    [[nodiscard]] std::optional<pending_final_write> take_pending_final_write();
    [[nodiscard]] phase current_phase() const { return m_phase; }

private:
    [[nodiscard]] claim_row own_row(claim_state state) const;
    [[nodiscard]] claim_action write_claim(cloud::write_condition condition);
    [[nodiscard]] claim_action write_final(claim_row row, cloud::write_condition condition, phase next);
    [[nodiscard]] claim_action permit_sending(std::uint64_t version);
    [[nodiscard]] claim_action handle_current_row(const std::optional<cloud::table_row>& current);
    [[nodiscard]] claim_action handle_other_attempt(const claim_row& row, std::uint64_t version);
    [[nodiscard]] claim_action on_final_write_conflict(const cloud::table_conflict& conflict);
    [[nodiscard]] claim_action on_final_write_unconfirmed();
    [[nodiscard]] claim_action abandon();
    [[nodiscard]] claim_action end_after_final_write();
    [[nodiscard]] claim_action refuse(outcome result, refusal_reason reason);

    claim_request m_request;
    std::string m_signing_key;
    std::string m_row_key;
    phase m_phase = phase::created;
    /// Attempts that have not sent and never will: those named in the release token, those that their holder
    /// reported as abandoned, and this one after it gave up.
    std::set<attempt_number> m_released_attempts;
    cloud::write_condition m_condition; ///< Condition of the last claim write.
    std::uint64_t m_version = 0;        ///< Version of the row that this attempt holds or asks about.
    /// Attempt named in the last row read, unless that row permitted this attempt to send. 0 if no row was
    /// read.
    attempt_number m_last_seen_attempt = 0;
    unsigned m_claim_writes = 0;
    unsigned m_final_write_retries = 0;
    std::size_t m_read_backs = 0;
    std::optional<pending_final_write> m_final_write; ///< The final row and its condition, once decided.
    bool m_final_write_unconfirmed = false;           ///< The table has not confirmed the final row.
};

[[nodiscard]] std::string_view to_string(claim::phase value);

} // namespace siskinwharf::claims
