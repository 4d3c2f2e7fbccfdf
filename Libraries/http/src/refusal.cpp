#include "siskinwharf/http/refusal.h"

#include <array>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace siskinwharf::http {

namespace {

struct refusal_row {
    refusal_type type;
    int status;
    std::string_view name;
};

constexpr std::array refusal_rows{
    refusal_row{refusal_type::malformed, 400, "malformed"},
    refusal_row{refusal_type::header_too_large, 431, "header_too_large"},
    refusal_row{refusal_type::body_too_large, 413, "body_too_large"},
    refusal_row{refusal_type::request_timeout, 408, "request_timeout"},
    refusal_row{refusal_type::unauthorized, 401, "unauthorized"},
    refusal_row{refusal_type::forbidden, 403, "forbidden"},
    refusal_row{refusal_type::not_found, 404, "not_found"},
    refusal_row{refusal_type::method_not_allowed, 405, "method_not_allowed"},
    refusal_row{refusal_type::not_ready, 503, "not_ready"},
    refusal_row{refusal_type::stopping, 503, "stopping"},
    refusal_row{refusal_type::memory_used_up, 503, "memory_used_up"},
    refusal_row{refusal_type::overloaded, 429, "overloaded"},
    refusal_row{refusal_type::deadline_unreachable, 503, "deadline_unreachable"},
    refusal_row{refusal_type::no_endpoint, 503, "no_endpoint"},
    refusal_row{refusal_type::retry_budget_exhausted, 503, "retry_budget_exhausted"},
    refusal_row{refusal_type::endpoint_failed, 502, "endpoint_failed"},
    refusal_row{refusal_type::quarantined, 422, "quarantined"},
    refusal_row{refusal_type::claim_conflict, 409, "claim_conflict"},
    refusal_row{refusal_type::claim_unavailable, 503, "claim_unavailable"},
    refusal_row{refusal_type::call_in_progress, 409, "call_in_progress"},
    refusal_row{refusal_type::idempotency_key_missing, 400, "idempotency_key_missing"},
    refusal_row{refusal_type::deadline_exceeded, 504, "deadline_exceeded"},
    refusal_row{refusal_type::version_gone, 503, "version_gone"},
    refusal_row{refusal_type::internal, 500, "internal"},
};

const refusal_row& row_of(refusal_type type)
{
    for (const auto& row : refusal_rows) {
        if (row.type == type)
            return row;
    }
    return refusal_rows.back();
}

} // namespace

std::string_view to_string(refusal_type type)
{
    return row_of(type).name;
}

int status_of(refusal_type type)
{
    return row_of(type).status;
}

std::string to_json(const refusal& reason)
{
    boost::json::object error;
    error["type"] = std::string(to_string(reason.type));
    error["message"] = reason.message;
    error["outcome"] = std::string(siskinwharf::to_string(reason.result));
    if (reason.retry_after)
        error["retry_after_ms"] = reason.retry_after->count();
    if (reason.release_token)
        error["release_token"] = *reason.release_token;
    boost::json::object body;
    body["error"] = std::move(error);
    return boost::json::serialize(body);
}

response to_response(const refusal& reason)
{
    auto result = json_response(status_of(reason.type), to_json(reason));
    if (reason.retry_after) {
        // Retry-After has a resolution of one second; rounding up keeps the caller from coming back too
        // early.
        const auto whole_seconds = (reason.retry_after->count() + 999) / 1000;
        result.headers.push_back({"Retry-After", std::to_string(whole_seconds)});
    }
    return result;
}

} // namespace siskinwharf::http
