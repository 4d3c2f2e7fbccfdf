#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <variant>

#include "siskinwharf/base/outcome.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/claims/claim_identity.h"
#include "siskinwharf/claims/stored_response.h"
#include "siskinwharf/cloud/table.h"

namespace siskinwharf::claims {

/// No action: the event arrived too late or was not expected in the current phase.
struct no_action {
    auto operator<=>(const no_action&) const = default;
};

/// Commit this write and pass the result to `claim::on_commit`.
struct write_table {
    cloud::table_write write;

    auto operator<=>(const write_table&) const = default;
};

/// Read this row after the delay and pass the result to `claim::on_read`.
struct read_table {
    std::string key;
    milliseconds delay{0};

    auto operator<=>(const read_table&) const = default;
};

/// The attempt may send its request once. It may try to connect to several endpoints in turn as long as no
/// byte of the request was sent. Afterwards call one of `claim::on_not_sent`, `claim::on_finished` and
/// `claim::on_connection_broken`.
struct may_send {
    auto operator<=>(const may_send&) const = default;
};

/// Ask the entry process `holder` about the state of its attempt and pass the reply to
/// `claim::on_holder_reply`.
struct ask_holder {
    std::string holder;
    attempt_number attempt = 0;

    auto operator<=>(const ask_holder&) const = default;
};

/// Reason for refusing a call.
enum class refusal_reason {
    table_unavailable, ///< The table cannot be reached or did not confirm the write.
    contention,        ///< Other attempts kept changing the row.
    not_sent,          ///< No endpoint accepted a connection, or the holder gave up before it sent.
    key_reused,        ///< The idempotency key was used for a call with a different body.
    in_progress,       ///< Another attempt of this call is running.
    holder_lost,       ///< The holder cannot be reached or does not know the result of its attempt.
    connection_broken, ///< The connection broke after the first byte was sent.
    unreadable_row,    ///< The row is damaged or has an unknown format version.
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// Refuse the call. `release_token` goes to the caller, who presents it when resending the call. It is
/// empty unless `result` is `outcome::not_run`.
struct refuse_call {
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::holder_lost;
    std::string release_token;

    auto operator<=>(const refuse_call&) const = default;
};

/// Return the stored response of an earlier attempt to the caller.
struct return_stored {
    stored_response response;

    auto operator<=>(const return_stored&) const = default;
};

/// The claim has ended and the caller needs no further response.
struct claim_settled {
    auto operator<=>(const claim_settled&) const = default;
};

using claim_action = std::variant<no_action, write_table, read_table, may_send, ask_holder, refuse_call,
                                  return_stored, claim_settled>;

/// Reply of a holder: its attempt is still running.
struct holder_running {
    auto operator<=>(const holder_running&) const = default;
};

/// Reply of a holder: its attempt has not sent and never will.
struct holder_abandoned {
    auto operator<=>(const holder_abandoned&) const = default;
};

/// Reply of a holder: its attempt completed with this response.
struct holder_done {
    stored_response response;

    auto operator<=>(const holder_done&) const = default;
};

/// The attempt's connection broke, the holder does not answer, or the holder does not know the attempt.
struct holder_unknown {
    auto operator<=>(const holder_unknown&) const = default;
};

using holder_reply = std::variant<holder_running, holder_abandoned, holder_done, holder_unknown>;

} // namespace siskinwharf::claims
