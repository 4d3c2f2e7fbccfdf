#pragma once

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_action.h"
#include "siskinwharf/claims/claim_row.h"

namespace siskinwharf::claims {

/// Waits before each read back of an uncertain write. The holder gives up after the last one.
inline constexpr std::array read_back_delays{milliseconds{0}, milliseconds{50}, milliseconds{200}};

/// Most claim writes of one attempt. Each further one means that another attempt changed the row in between.
inline constexpr unsigned maximum_claim_writes = 4;

/// Most times that a final row is written again because the row changed. One is regular: a late claim write
/// that took effect just before its void row.
inline constexpr unsigned maximum_final_write_retries = 2;

/// One attempt at a non-idempotent call.
struct claim_request {
    claim_identity identity;
    attempt_number attempt = 0;
    std::string holder;         ///< Peer address of this entry process.
    std::string request_digest; ///< SHA-256 of the request body.
    std::string release_token;  ///< As presented by the caller, or empty.
};

/// A row that still has to be written in the background. The condition is that of the last write tried.
struct pending_final_write {
    std::string row_key;
    claim_row row;
    cloud::write_condition condition;

    auto operator<=>(const pending_final_write&) const = default;
};

/// What a conflict or a read means for a row that an attempt wants to replace by its final row.
enum class final_write_check { written, superseded, retry };

/// Decides from the current row whether a final row is there, can no longer be written, or is to be written
/// under `final_write.condition`, which this function updates.
[[nodiscard]] final_write_check check_final_write(pending_final_write& final_write,
                                                  const std::optional<cloud::table_row>& current);

/// State machine of one attempt at a non-idempotent call. Each event returns the next action. `may_send` is
/// returned at most once in the life of a claim and never after a refusal. Not safe for concurrent use.
class claim {
public:
    enum class phase { created, claiming, reading_back, voiding, asking, sending, storing, ended };

    /// `signing_key` is the key of release tokens from the settings, the same at all entry processes.
    claim(claim_request request, std::string signing_key);

    /// Begins the claim with a conditional insert.
    [[nodiscard]] claim_action start();
    /// Takes the result of the last `write_table`. A conflict lists one row.
    [[nodiscard]] claim_action on_commit(const cloud::commit_result& result);
    /// Takes the result of the last `read_table`.
    [[nodiscard]] claim_action on_read(const cloud::read_result& result);
    /// Takes the reply to the last `ask_holder`.
    [[nodiscard]] claim_action on_holder_reply(const holder_reply& reply);
    /// Ends the wait for the table or the holder, for example because the deadline is near. Does nothing once
    /// `may_send` was returned, because the request may already be under way.
    [[nodiscard]] claim_action give_up();

    /// The attempt sent no byte of its request and never will.
    [[nodiscard]] claim_action on_not_sent();
    /// The attempt has its complete response, which the caller gets without waiting for the table.
    [[nodiscard]] claim_action on_finished(stored_response response);
    /// The connection broke after the first byte was sent and before the response was complete.
    [[nodiscard]] claim_action on_connection_broken();

    /// What this entry process replies to a peer that asks about the attempt.
    [[nodiscard]] holder_reply reply_to_peer() const;
    /// What remains to be written in the background once the claim has ended, at most once.
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
    /// Attempts that are known never to send: by token, by their holder's word, or this one after it gave up.
    std::set<attempt_number> m_released_attempts;
    cloud::write_condition m_condition;     ///< Of the last claim write.
    std::uint64_t m_version = 0;            ///< Of the row this attempt holds or asks about.
    attempt_number m_last_seen_attempt = 0; ///< Attempt in the row that was seen last.
    unsigned m_claim_writes = 0;
    unsigned m_final_write_retries = 0;
    std::size_t m_read_backs = 0;
    std::optional<pending_final_write> m_final_write; ///< The final row once it is decided.
    bool m_final_write_unconfirmed = false;           ///< The final row is not known to be written.
};

[[nodiscard]] std::string_view to_string(claim::phase value);

} // namespace siskinwharf::claims
