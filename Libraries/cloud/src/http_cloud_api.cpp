#include <exception>

#include "cloud_json.h"
#include "siskinwharf/cloud/http_platform.h"

namespace siskinwharf::cloud {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

/// Converts the answer to a start request. An unexpected or malformed answer is `cloud_uncertain`.
start_result to_start_result(const http::response& answer)
{
    try {
        switch (answer.status) {
        case status_ok:
            return decode_cloud_instance(answer.body);
        case status_bad_request:
            return cloud_refused{cloud_refusal::no_such_offer};
        case status_too_many_requests:
            return cloud_unavailable{};
        case status_unavailable:
            if (decode_error_name(answer.body) == "no_capacity")
                return cloud_refused{cloud_refusal::no_capacity};
            return cloud_uncertain{};
        default:
            return cloud_uncertain{};
        }
    } catch (const std::exception&) {
        // boost::json throws exceptions of several types for a malformed body.
        return cloud_uncertain{};
    }
}

/// Converts the status of the answer to a stop request. An unexpected status is `cloud_uncertain`.
stop_result to_stop_result(int status)
{
    switch (status) {
    case status_ok:
        return cloud_stopped{};
    case status_not_found:
        return cloud_refused{cloud_refusal::no_such_instance};
    case status_too_many_requests:
        return cloud_unavailable{};
    default:
        return cloud_uncertain{};
    }
}

} // namespace

std::string_view to_string(purchase_kind kind)
{
    return kind == purchase_kind::reclaimable ? "reclaimable" : "on_demand";
}

std::string_view to_string(cloud_refusal refusal)
{
    switch (refusal) {
    case cloud_refusal::no_capacity:
        return "no_capacity";
    case cloud_refusal::no_such_offer:
        return "no_such_offer";
    case cloud_refusal::no_such_instance:
        return "no_such_instance";
    }
    return "unknown";
}

http_cloud_api::http_cloud_api(http::client& client, platform_access access)
    : m_client(client), m_access(std::move(access))
{
}

boost::asio::awaitable<std::optional<std::string>> http_cloud_api::get(std::string path, std::string query)
{
    http::request message{"GET", std::move(path), std::move(query), {}, ""};
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    try {
        auto answer = co_await m_client.call(m_access.target, std::move(message), m_access.timeout);
        if (answer.status != status_ok)
            co_return std::nullopt;
        co_return std::move(answer.body);
    } catch (const http::call_error&) {
        co_return std::nullopt;
    }
}

boost::asio::awaitable<offers_result> http_cloud_api::offers()
{
    const auto body = co_await get("/cloud/offers", "");
    try {
        if (body)
            co_return decode_offers(*body);
    } catch (const std::exception&) {
        co_return cloud_unavailable{};
    }
    co_return cloud_unavailable{};
}

boost::asio::awaitable<instances_result> http_cloud_api::instances()
{
    const auto body = co_await get("/cloud/instances", "");
    try {
        if (body)
            co_return decode_cloud_instances(*body);
    } catch (const std::exception&) {
        co_return cloud_unavailable{};
    }
    co_return cloud_unavailable{};
}

boost::asio::awaitable<notices_result> http_cloud_api::notices(std::uint64_t after)
{
    const auto body = co_await get("/cloud/notices", "after=" + std::to_string(after));
    try {
        if (body)
            co_return decode_notices(*body);
    } catch (const std::exception&) {
        co_return cloud_unavailable{};
    }
    co_return cloud_unavailable{};
}

boost::asio::awaitable<start_result> http_cloud_api::start(start_request request)
{
    http::request message{"POST", "/cloud/instances", "", {}, encode_start(request)};
    message.headers.push_back({"Content-Type", "application/json"});
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    try {
        // The client token makes a retry on another connection safe.
        const auto answer = co_await m_client.call(m_access.target, std::move(message), m_access.timeout);
        co_return to_start_result(answer);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send)
            co_return cloud_unavailable{};
        co_return cloud_uncertain{};
    }
}

boost::asio::awaitable<stop_result> http_cloud_api::stop(instance_id id)
{
    http::request message{"DELETE", "/cloud/instances/" + http::percent_encode(id.value()), "", {}, ""};
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    try {
        const auto answer = co_await m_client.call(m_access.target, std::move(message), m_access.timeout);
        co_return to_stop_result(answer.status);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send)
            co_return cloud_unavailable{};
        co_return cloud_uncertain{};
    }
}

} // namespace siskinwharf::cloud
