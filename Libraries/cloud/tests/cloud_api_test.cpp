#include <catch2/catch.hpp>

#include <exception>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/cloud/http_platform.h"
#include "siskinwharf/http/server.h"

namespace siskinwharf::cloud {

namespace asio = boost::asio;

namespace {

/// The fixed answer of the test server. With status 0 (`closes_connection`) the server closes the connection
/// without an answer; with status -1 (`refuses_connections`) it does not listen.
struct scripted_answer {
    int status;
    std::string body;
};

constexpr int closes_connection = 0;
constexpr int refuses_connections = -1;

/// Runs one call against a server with this answer and returns the request that arrived.
http::request call_with_answer(const scripted_answer& script,
                               const std::function<asio::awaitable<void>(http_cloud_api&)>& call)
{
    asio::io_context context;
    http::request received;
    http::server server(context, {"127.0.0.1", 0}, {},
                        [&](http::request message, http::response_writer& writer) -> asio::awaitable<void> {
                            received = std::move(message);
                            if (script.status == closes_connection)
                                throw http::caller_disconnected("scripted");
                            co_await writer.send(http::json_response(script.status, script.body));
                        });
    server.start();
    http::client client(context.get_executor());
    // Port 1 on loopback has no listener.
    const unsigned short port = script.status == refuses_connections ? 1 : server.port();
    http_cloud_api cloud(client, {{"127.0.0.1", port}, "test", milliseconds(5'000)});
    asio::co_spawn(context, call(cloud), [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    return received;
}

constexpr auto started_body = R"({"id":"i-1","class":"small","failure_domain":"d1","kind":"on_demand",
    "client_token":"t","price_microcents_per_second":1,"billed_ms":0,"state":"starting"})";

} // namespace

TEST_CASE("a start with an ambiguous answer is uncertain, never a refusal")
{
    struct row {
        const char* name;
        scripted_answer script;
        start_result expected;
    };
    const cloud_instance started{instance_id("i-1"),       "small", failure_domain_id("d1"),
                                 purchase_kind::on_demand, "t",     cloud_instance_state::starting};
    const row rows[] = {
        {"started", {200, started_body}, started},
        {"started, malformed body", {200, "{"}, cloud_uncertain{}},
        {"started, unknown state", {200, R"({"id":"i-1","state":"?"})"}, cloud_uncertain{}},
        {"no capacity", {503, R"({"error":"no_capacity"})"}, cloud_refused{cloud_refusal::no_capacity}},
        {"503 from an intermediary", {503, "upstream"}, cloud_uncertain{}},
        {"503 with another error", {503, R"({"error":"x"})"}, cloud_uncertain{}},
        {"no such offer", {400, R"({"error":"bad_request"})"}, cloud_refused{cloud_refusal::no_such_offer}},
        {"rate limit", {429, "{}"}, cloud_unavailable{}},
        {"server error", {500, "{}"}, cloud_uncertain{}},
        {"connection closed after the request", {closes_connection, ""}, cloud_uncertain{}},
        {"connection refused", {refuses_connections, ""}, cloud_unavailable{}},
    };
    for (const auto& [name, script, expected] : rows) {
        INFO(name);
        start_result result;
        const auto received = call_with_answer(script, [&](http_cloud_api& cloud) -> asio::awaitable<void> {
            start_request wanted{"small", failure_domain_id("d1"), purchase_kind::on_demand, "t"};
            result = co_await cloud.start(std::move(wanted));
        });
        CHECK((result == expected));
        if (script.status != refuses_connections)
            CHECK(received.body ==
                  R"({"class":"small","failure_domain":"d1","kind":"on_demand","client_token":"t"})");
    }
}

TEST_CASE("a stop with an ambiguous answer is uncertain")
{
    struct row {
        const char* name;
        scripted_answer script;
        stop_result expected;
    };
    const row rows[] = {
        {"stopped", {200, R"({"done":true})"}, cloud_stopped{}},
        {"unknown instance", {404, "{}"}, cloud_refused{cloud_refusal::no_such_instance}},
        {"rate limit", {429, "{}"}, cloud_unavailable{}},
        {"server error", {500, "{}"}, cloud_uncertain{}},
        {"connection closed after the request", {closes_connection, ""}, cloud_uncertain{}},
        {"connection refused", {refuses_connections, ""}, cloud_unavailable{}},
    };
    for (const auto& [name, script, expected] : rows) {
        INFO(name);
        stop_result result;
        call_with_answer(script, [&](http_cloud_api& cloud) -> asio::awaitable<void> {
            instance_id id("i-1");
            result = co_await cloud.stop(std::move(id));
        });
        CHECK((result == expected));
    }
}

TEST_CASE("a malformed or missing answer to a cloud API read is unavailable, not an empty list")
{
    struct row {
        const char* name = "";
        scripted_answer script;
    };
    const row rows[] = {
        {"malformed body", {200, "{"}},
        {"other members", {200, "{}"}},
        {"no array", {200, R"({"offers":1,"instances":1,"notices":1,"last":1})"}},
        {"rate limit", {429, "{}"}},
        {"server error", {500, R"({"offers":[],"instances":[],"notices":[],"last":0})"}},
        {"connection closed after the request", {closes_connection, ""}},
        {"connection refused", {refuses_connections, ""}},
    };
    for (const auto& [name, script] : rows) {
        INFO(name);
        offers_result offers;
        instances_result instances;
        notices_result notices;
        call_with_answer(script, [&](http_cloud_api& cloud) -> asio::awaitable<void> {
            offers = co_await cloud.offers();
            instances = co_await cloud.instances();
            notices = co_await cloud.notices(0);
        });
        CHECK(std::holds_alternative<cloud_unavailable>(offers));
        CHECK(std::holds_alternative<cloud_unavailable>(instances));
        CHECK(std::holds_alternative<cloud_unavailable>(notices));
    }
}

TEST_CASE("offers, instances and notices are decoded from the cloud API's JSON")
{
    const scripted_answer script{
        200,
        std::string(R"({"offers":[{"class":"small","failure_domain":"d1","kind":"reclaimable",)") +
            R"("price_microcents_per_second":8000,"capacity":8,"reclaims_per_hour":0.1,"available":5}],)" +
            R"("instances":[)" + started_body +
            R"(],"notices":[{"sequence":4,"id":"i-1","failure_domain":"d1","leaves_in_ms":900}],"last":4})"};
    offers_result offers;
    instances_result instances;
    notices_result notices;
    const auto received = call_with_answer(script, [&](http_cloud_api& cloud) -> asio::awaitable<void> {
        offers = co_await cloud.offers();
        instances = co_await cloud.instances();
        notices = co_await cloud.notices(3);
    });
    CHECK(received.query == "after=3");
    const std::vector<cloud_offer> expected_offers{
        {"small", failure_domain_id("d1"), purchase_kind::reclaimable, 8000, 8}};
    CHECK((offers == offers_result(expected_offers)));
    REQUIRE(std::holds_alternative<std::vector<cloud_instance>>(instances));
    CHECK(std::get<std::vector<cloud_instance>>(instances).front().id == instance_id("i-1"));
    const notice_page expected_notices{{{4, instance_id("i-1"), milliseconds(900)}}, 4};
    CHECK((notices == notices_result(expected_notices)));
}

} // namespace siskinwharf::cloud
