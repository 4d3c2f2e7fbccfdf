#pragma once

#include <compare>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_identity.h"
#include "siskinwharf/claims/stored_response.h"

namespace siskinwharf::claims {

/// What a claim's row says about the attempt named in it.
enum class claim_state {
    held,      ///< The attempt may send, has sent, or is lost.
    abandoned, ///< The attempt has not sent and never will. Written as `void`.
    done,      ///< The attempt ran to its end.
    unknown,   ///< The attempt's connection broke after the first byte was sent.
};

/// Value of a claim's table row.
struct claim_row {
    claim_state state = claim_state::held;
    attempt_number attempt = 0;
    std::string holder;         ///< Peer address of the entry process that made the attempt.
    std::string request_digest; ///< SHA-256 of the request body, to tell a resend from a reused key.
    std::optional<stored_response> response;

    auto operator<=>(const claim_row&) const = default;
};

/// A row that is not valid JSON, has an unknown version or lacks a field.
class claim_row_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the row as JSON with the version in field `v`.
[[nodiscard]] std::string encode_claim_row(const claim_row& row);

/// Reads what `encode_claim_row` wrote. Throws `claim_row_error`.
[[nodiscard]] claim_row decode_claim_row(std::string_view text);

} // namespace siskinwharf::claims
