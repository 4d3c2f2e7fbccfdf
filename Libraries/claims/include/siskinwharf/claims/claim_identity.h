#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::claims {

/// Identifier of one attempt, unique across all entry processes and never reused. Whoever creates the claim
/// chooses it.
using attempt_number = std::uint64_t;

/// Identifies the call that a claim protects: the client account and the idempotency key it chose.
struct claim_identity {
    account_id account;
    std::string key;

    auto operator<=>(const claim_identity&) const = default;
};

/// Returns the key of the table row: `claim/<account>/<SHA-256 of the idempotency key>`. The digest limits
/// the length and prevents a caller from addressing the row of another account with a separator in its key.
[[nodiscard]] std::string claim_row_key(const claim_identity& identity);

} // namespace siskinwharf::claims
