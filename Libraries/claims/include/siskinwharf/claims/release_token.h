#pragma once

#include <set>
#include <string>
#include <string_view>

#include "siskinwharf/claims/claim_identity.h"

namespace siskinwharf::claims {

/// Maximum number of attempts in one token. Limits the request header to about 1.5 KB.
inline constexpr std::size_t maximum_released_attempts = 16;

/// Returns a signed token which states that none of these attempts has sent or will ever send. It consists of
/// comma-separated parts `v1:<attempt>:<HMAC-SHA-256>` and is empty if there are no attempts. If there are
/// more than `maximum_released_attempts`, the ones in `required` take precedence.
[[nodiscard]] std::string sign_release(std::string_view signing_key, const claim_identity& identity,
                                       const std::set<attempt_number>& attempts,
                                       const std::set<attempt_number>& required);

/// Returns the attempts that a token releases for this call. Parts that are malformed or have a wrong
/// signature are ignored, and so are all parts after the first `maximum_released_attempts`.
[[nodiscard]] std::set<attempt_number> verify_release(std::string_view signing_key,
                                                      const claim_identity& identity, std::string_view token);

} // namespace siskinwharf::claims
