#pragma once

#include <compare>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_identity.h"
#include "siskinwharf/claims/stored_response.h"

namespace siskinwharf::claims {

/// State of the attempt named in a claim's row.
enum class claim_state {
    held,      ///< The attempt may send or has sent, or its holder was lost.
    abandoned, ///< The attempt has not sent and never will. Stored as `void`.
    done,      ///< The attempt completed and its response is in the row.
    unknown,   ///< The attempt's connection broke after the first byte was sent.
};

/// Contents of a claim's table row.
struct claim_row {
    claim_state state = claim_state::held;
    attempt_number attempt = 0;
    std::string holder;         ///< Peer address of the entry process that made the attempt.
    std::string request_digest; ///< SHA-256 of the request body. Distinguishes a resend from a reused key.
    std::optional<stored_response> response; ///< Required in state `done`.

    auto operator<=>(const claim_row&) const = default;
};

/// Thrown for a row that is not valid JSON, has an unknown version, or lacks a field or has an invalid one.
class claim_row_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Serializes the row as JSON, with the format version in the field `v`.
[[nodiscard]] std::string encode_claim_row(const claim_row& row);

/// Parses a row written by `encode_claim_row`. Throws `claim_row_error` if the text is not a valid row.
[[nodiscard]] claim_row decode_claim_row(std::string_view text);

} // namespace siskinwharf::claims
