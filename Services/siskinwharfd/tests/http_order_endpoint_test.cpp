#include <catch2/catch.hpp>

#include <exception>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "http_order_endpoint.h"
#include "siskinwharf/http/server.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr int closes = 0;
constexpr int refuses_connections = -1;

struct scripted_answer {
    int status = closes;
    std::string body;
};

/// Runs one call against an engine with a fixed answer and returns the requests that arrived.
std::vector<http::request>
call_against(const scripted_answer& script,
             const std::function<asio::awaitable<void>(order_endpoint&, http::address)>& call)
{
    asio::io_context context;
    std::vector<http::request> seen;
    http::server engine(context, {"127.0.0.1", 0}, {},
                        [&](http::request message, http::response_writer& writer) -> asio::awaitable<void> {
                            seen.push_back(std::move(message));
                            if (script.status == closes)
                                throw http::caller_disconnected("scripted");
                            co_await writer.send(http::json_response(script.status, script.body));
                        });
    engine.start();
    http::client client(context.get_executor());
    http_order_endpoint endpoint(client);
    // Port 1 on loopback has no listener.
    const unsigned short port = script.status == refuses_connections ? 1 : engine.port();
    asio::co_spawn(context, call(endpoint, {"127.0.0.1", port}),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    return seen;
}

const control::endpoint_configuration wanted{model_id("m"), "v2", {"a", "b"}, "both"};

} // namespace

TEST_CASE("an order whose answer does not say what happened is uncertain, and is sent once")
{
    struct row {
        const char* name = "";
        scripted_answer script;
        std::size_t expected = 0; ///< Index in `control::order_result`.
    };
    const std::size_t accepted = control::order_result(control::order_accepted{}).index();
    const std::size_t stale = control::order_result(control::order_refused_stale{}).index();
    const std::size_t refused = control::order_result(control::order_refused{}).index();
    const std::size_t uncertain = control::order_result(control::order_uncertain{}).index();
    const row rows[] = {
        {"accepted", {200, "{}"}, accepted},
        {"stale token", {409, R"({"error":"stale_fencing","highest":12})"}, stale},
        {"another conflict", {409, R"({"error":"leaving"})"}, refused},
        {"conflict with a damaged body", {409, "{"}, uncertain},
        {"malformed", {400, "{}"}, refused},
        {"server error", {500, "{}"}, uncertain},
        {"connection closed after the request", {closes, ""}, uncertain},
        {"connection refused", {refuses_connections, ""}, refused},
    };
    for (const auto& [name, script, expected] : rows) {
        INFO(name);
        control::order_result result;
        const auto seen = call_against(
            script, [&](order_endpoint& endpoint, http::address target) -> asio::awaitable<void> {
                control::send_order order{endpoint_id("m-1"), 11, wanted};
                result = co_await endpoint.send(std::move(target), std::move(order));
            });
        CHECK(result.index() == expected);
        if (const auto* found = std::get_if<control::order_refused_stale>(&result))
            CHECK(found->newer_token == 12);
        REQUIRE(seen.size() == (script.status == refuses_connections ? 0 : 1));
        if (!seen.empty())
            CHECK(
                seen.front().body ==
                R"({"fencing":11,"wanted":{"models":[{"model":"m","version":"v2","adapters":["a","b"]}],"role":"both"}})");
    }
}

TEST_CASE("a configuration that cannot be read is unknown, and one of no or several models equals no order")
{
    struct row {
        const char* name = "";
        scripted_answer script;
        std::optional<control::endpoint_configuration> expected;
    };
    const control::endpoint_configuration other{{}, "", {}, "both"};
    const row rows[] = {
        {"adapters in another order",
         {200, R"({"role":"both","models":[{"model":"m","version":"v2","adapters":["b","a"]}]})"},
         wanted},
        {"no model", {200, R"({"role":"both","models":[]})"}, other},
        {"two models",
         {200, R"({"role":"both","models":[{"model":"m","version":"v2","adapters":["a","b"]},{}]})"},
         other},
        {"damaged body", {200, "{"}, std::nullopt},
        {"missing members", {200, "{}"}, std::nullopt},
        {"server error", {500, "{}"}, std::nullopt},
        {"connection closed after the request", {closes, ""}, std::nullopt},
    };
    for (const auto& [name, script, expected] : rows) {
        INFO(name);
        std::optional<control::endpoint_configuration> result;
        call_against(script, [&](order_endpoint& endpoint, http::address target) -> asio::awaitable<void> {
            result = co_await endpoint.read_back(std::move(target));
        });
        CHECK((result == expected));
    }
}

} // namespace siskinwharf::entry
