#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::claims {

/// Number of one attempt, unique over all entry processes and never reused. Chosen by the caller of the core.
using attempt_number = std::uint64_t;

/// The call that a claim is about: an account and the idempotency key the account chose.
struct claim_identity {
    account_id account;
    std::string key;

    auto operator<=>(const claim_identity&) const = default;
};

/// Key of the table row: `claim/<account>/<SHA-256 of the idempotency key>`. The digest bounds the length and
/// keeps a caller from addressing the row of another account with a separator in its key.
[[nodiscard]] std::string claim_row_key(const claim_identity& identity);

} // namespace siskinwharf::claims
