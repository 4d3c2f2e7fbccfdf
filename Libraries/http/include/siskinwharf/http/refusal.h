#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "siskinwharf/base/outcome.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::http {

/// Why a request is refused. docs/OPERATIONS.md says what each means and what the caller should do.
enum class refusal_type {
    malformed,
    header_too_large,
    body_too_large,
    request_timeout,
    unauthorized,
    forbidden,
    not_found,
    method_not_allowed,
    not_ready,
    stopping,
    memory_used_up,
    overloaded,
    deadline_unreachable,
    no_endpoint,
    retry_budget_exhausted,
    endpoint_failed,
    quarantined,
    claim_conflict,
    claim_unavailable,
    call_in_progress,
    idempotency_key_missing,
    deadline_exceeded,
    version_gone,
    internal,
};

/// A typed error answer.
struct refusal {
    refusal_type type = refusal_type::internal;
    std::string message;
    siskinwharf::outcome result = outcome::not_run;
    std::optional<milliseconds> retry_after = {};
    /// Lets a resend replace a claim whose release could not be stored.
    std::optional<std::string> release_token = {};
};

/// Name of a refusal type as it appears in the JSON error.
[[nodiscard]] std::string_view to_string(refusal_type type);
/// HTTP status of a refusal type.
[[nodiscard]] int status_of(refusal_type type);
/// JSON object `{"error":{"type","message","outcome","retry_after_ms"}}`.
[[nodiscard]] std::string to_json(const refusal& reason);
/// The whole response to a refused request, with `Retry-After` where a retry time is known.
[[nodiscard]] response to_response(const refusal& reason);

} // namespace siskinwharf::http
