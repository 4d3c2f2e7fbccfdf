#include "http_order_endpoint.h"

#include <algorithm>
#include <exception>

#include <boost/json.hpp>

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

// Well below the longest order delay, so that an order whose connection is slow has arrived or failed by
// then.
constexpr milliseconds order_timeout{2'000};
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

std::string encode_order(const control::send_order& order)
{
    boost::json::object model;
    model["model"] = order.wanted.model.value();
    model["version"] = order.wanted.version;
    model["adapters"] = boost::json::value_from(order.wanted.adapters);
    boost::json::object wanted;
    wanted["models"] = boost::json::array{std::move(model)};
    wanted["role"] = order.wanted.role;
    boost::json::object body;
    body["fencing"] = order.fencing;
    body["wanted"] = std::move(wanted);
    return boost::json::serialize(body);
}

control::order_result to_order_result(const http::response& answer)
{
    if (answer.status == status_ok)
        return control::order_accepted{};
    if (answer.status == status_conflict) {
        const auto document = boost::json::parse(answer.body);
        const auto& body = document.as_object();
        if (body.at("error").as_string() == "stale_fencing")
            return control::order_refused_stale{body.at("highest").to_number<std::uint64_t>()};
        return control::order_refused{};
    }
    if (answer.status >= first_client_error && answer.status < first_server_error)
        return control::order_refused{};
    return control::order_uncertain{};
}

control::endpoint_configuration to_configuration(std::string_view text)
{
    const auto document = boost::json::parse(text);
    const auto& body = document.as_object();
    control::endpoint_configuration result;
    result.role = std::string(body.at("role").as_string());
    const auto& models = body.at("models").as_array();
    // An order names one model. An engine with none or several has another configuration than any order.
    if (models.size() != 1)
        return result;
    const auto& model = models.front().as_object();
    result.model = model_id(std::string(model.at("model").as_string()));
    result.version = std::string(model.at("version").as_string());
    for (const auto& adapter : model.at("adapters").as_array())
        result.adapters.emplace_back(adapter.as_string());
    std::ranges::sort(result.adapters);
    const auto* state = model.if_contains("state");
    result.loading = state != nullptr && state->is_string() && state->get_string() == "loading";
    return result;
}

} // namespace

asio::awaitable<control::order_result> http_order_endpoint::send(http::address target,
                                                                 control::send_order order)
{
    http::request message{"POST", "/orders", "", {}, encode_order(order)};
    message.headers.push_back({"Content-Type", "application/json"});
    try {
        // Not repeated by the client: the lease is checked before each sending.
        const auto answer = co_await m_client.call(target, std::move(message), order_timeout, false);
        co_return to_order_result(answer);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send)
            co_return control::order_refused{};
        co_return control::order_uncertain{};
    } catch (const std::exception&) {
        // boost::json reports a body of another form in several exception types.
        co_return control::order_uncertain{};
    }
}

asio::awaitable<std::optional<control::endpoint_configuration>>
http_order_endpoint::read_back(http::address target)
{
    http::request message{"GET", "/orders", "", {}, ""};
    try {
        const auto answer = co_await m_client.call(target, std::move(message), order_timeout);
        if (answer.status != status_ok)
            co_return std::nullopt;
        co_return to_configuration(answer.body);
    } catch (const std::exception&) {
        co_return std::nullopt;
    }
}

} // namespace siskinwharf::entry
