#include "outgoing.h"

namespace siskinwharf::http {

namespace {

template<typename Body>
boost::beast::http::request<Body> to_head(const address& target, const request& message)
{
    constexpr unsigned http_1_1 = 11;
    boost::beast::http::request<Body> result;
    result.version(http_1_1);
    result.method_string(message.method);
    result.target(message.target());
    if (!message.find_header("Host"))
        result.set(boost::beast::http::field::host, target.ip + ":" + std::to_string(target.port));
    for (const auto& [name, value] : message.headers)
        result.insert(name, value);
    return result;
}

} // namespace

boost::beast::http::request<boost::beast::http::string_body> to_beast(const address& target,
                                                                      request&& message)
{
    auto result = to_head<boost::beast::http::string_body>(target, message);
    result.body() = std::move(message.body);
    result.prepare_payload();
    return result;
}

boost::beast::http::request<boost::beast::http::span_body<const char>>
to_beast_with_body(const address& target, const request& message, const std::string& body)
{
    using span_body = boost::beast::http::span_body<const char>;
    auto result = to_head<span_body>(target, message);
    result.body() = span_body::value_type(body.data(), body.size());
    result.prepare_payload();
    return result;
}

} // namespace siskinwharf::http
