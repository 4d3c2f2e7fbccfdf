#include "attempt_ends.h"

#include <boost/json.hpp>

namespace siskinwharf::entry {

using serving::attempt_end;

namespace {

std::string error_of(const std::string& lines)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(lines, error);
    if (error || !document.is_object())
        return {};
    const auto* text = document.get_object().if_contains("error");
    return text != nullptr && text->is_string() ? std::string(text->get_string()) : std::string{};
}

} // namespace

attempt_end end_of_refusal(int status, const std::string& body)
{
    const auto error = error_of(body);
    if (status == 409 && error == "leaving")
        return attempt_end::refused_leaving;
    if (status == 409 && error == "stale_attempt")
        return attempt_end::stream_known;
    if (status == 404)
        return attempt_end::refused_model;
    if (status == 429 || status == 503)
        return attempt_end::refused_full;
    if (status >= 400 && status < 500)
        return attempt_end::rejected;
    return attempt_end::refused_full;
}

std::string_view to_text(attempt_end end)
{
    switch (end) {
    case attempt_end::completed:
        return "completed";
    case attempt_end::refused_leaving:
        return "refused_leaving";
    case attempt_end::refused_full:
        return "refused_full";
    case attempt_end::refused_model:
        return "refused_model";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::connection_lost:
        return "connection_lost";
    case attempt_end::endpoint_lost:
        return "endpoint_lost";
    case attempt_end::endpoint_stalled:
        return "endpoint_stalled";
    case attempt_end::stream_missing:
        return "stream_missing";
    case attempt_end::move_requested:
        return "move_requested";
    case attempt_end::stream_known:
        return "stream_known";
    case attempt_end::rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace siskinwharf::entry
