#include <memory>

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include "scripted_endpoint.h"
#include "siskinwharf/forwarding/request_runner.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Codec with its own header names, so that the tests do not depend on a platform.
class test_codec final : public call_codec {
public:
    [[nodiscard]] call decode(http::request message) const override
    {
        call result;
        result.id = request_id(std::string(message.find_header("Id").value_or("")));
        result.host = std::string(message.find_header("Host").value_or(""));
        if (const auto key = message.find_header("Key"))
            result.key = std::string(*key);
        result.deadline = milliseconds(3'000);
        result.message = std::move(message);
        return result;
    }

    [[nodiscard]] http::request encode(const call& from, const endpoint_request_options& order) const override
    {
        http::request result{from.message.method, from.message.path, "", {{"Id", from.id.value()}}, ""};
        if (order.resume_after)
            result.headers.push_back({"After", *order.resume_after});
        if (order.account)
            result.headers.push_back({"Account", order.account->value()});
        return result;
    }

    [[nodiscard]] response_metadata inspect(int /*status*/,
                                            const std::vector<http::header_field>& headers) const override
    {
        response_metadata facts;
        for (const auto& [name, value] : headers) {
            facts.is_not_run = facts.is_not_run || name == "Not-Run";
            facts.is_signed = facts.is_signed || name == "Signed";
            if (name == "Id")
                facts.id = request_id(value);
        }
        return facts;
    }

    [[nodiscard]] std::vector<http::header_field>
    forwarded(const std::vector<http::header_field>& /*headers*/) const override
    {
        return {{"From", "endpoint"}};
    }
};

std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text)
{
    constexpr const char* digits = "0123456789abcdef";
    return std::string{digits[text.size() / 16], digits[text.size() % 16]} + "\r\n" + text + "\r\n";
}

const std::string stream_head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

deployment::snapshot_content make_content()
{
    deployment::snapshot_content content;
    content.version = 1;
    const auto add = [&](const std::string& prefix, deployment::request_kind kind, bool is_resumable) {
        deployment::route route;
        route.name = prefix;
        route.host = "a";
        route.path_prefix = prefix;
        route.kind = kind;
        route.timeout = milliseconds(2'000);
        route.latency_target = milliseconds(1'000);
        route.maximum_attempts = 2;
        route.is_resumable = is_resumable;
        route.shares = {{service_id("s"), 1}};
        content.routes.push_back(route);
    };
    add("/read/", deployment::request_kind::idempotent, false);
    add("/order/", deployment::request_kind::non_idempotent, false);
    add("/stream/", deployment::request_kind::stream, false);
    add("/resumable/", deployment::request_kind::stream, true);
    deployment::service service;
    service.id = service_id("s");
    content.services = {service};
    deployment::account account;
    account.id = account_id("bakery");
    account.keys = {"k"};
    content.accounts = {account};
    return content;
}

process_settings make_settings()
{
    process_settings settings;
    settings.bounds.retry_slack = 100;
    return settings;
}

/// A forwarding process in front of up to two endpoints.
struct fixture {
    explicit fixture(const std::vector<std::deque<std::string>>& scripts)
    {
        const auto now = std::chrono::steady_clock::now();
        state.set_configuration(make_content(), now);
        std::vector<dispatch::endpoint_record> records;
        for (const auto& script : scripts) {
            endpoints.push_back(std::make_unique<scripted_endpoint>(context, script));
            dispatch::endpoint_record record;
            record.id = endpoint_id("e" + std::to_string(endpoints.size()));
            record.service = service_id("s");
            record.ip = "127.0.0.1";
            record.port = endpoints.back()->port();
            // The first endpoint is in the local failure domain, so it is tried first.
            record.domain = failure_domain_id(endpoints.size() == 1 ? "" : "other");
            record.slots = 8;
            records.push_back(record);
        }
        state.set_endpoints(records);
        server.start();
    }

    /// Sends one request and returns all received bytes up to the end of the connection.
    std::string ask(const std::string& path, const std::string& key = "k")
    {
        std::string received;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
                asio::ip::tcp::socket socket(context);
                const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.port());
                co_await socket.async_connect(target, use_tuple);
                const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 7\r\nKey: " + key +
                                            "\r\nConnection: close\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(request), use_tuple);
                auto buffer = asio::dynamic_buffer(received);
                co_await asio::async_read(socket, buffer, use_tuple);
                context.stop();
            },
            asio::detached);
        context.restart();
        context.run_for(seconds(20));
        return received;
    }

    [[nodiscard]] std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& endpoint : endpoints)
            count += endpoint->requests().size();
        return count;
    }

    asio::io_context context{1};
    http::client client{context.get_executor()};
    telemetry::metrics_registry metrics;
    test_codec codec;
    traffic_state state{make_settings(), 1, usage::wall_time{}, std::chrono::steady_clock::now()};
    request_runner runner{context.get_executor(), state, codec, client, metrics};
    http::server server{context,
                        {"127.0.0.1", 0},
                        http::server_limits{},
                        [this](http::request message, http::response_writer& writer) {
                            return runner.handle(std::move(message), writer);
                        }};
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
};

bool has_status(const std::string& received, int status)
{
    return received.starts_with("HTTP/1.1 " + std::to_string(status));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

constexpr const char* last_chunk = "0\r\n\r\n";

} // namespace

TEST_CASE("the response reaches the caller, and the endpoint receives the client account")
{
    fixture all({{answer(200, "Signed: 1\r\nId: 7\r\n", "whole")}});
    const auto received = all.ask("/read/x");
    CHECK(has_status(received, 200));
    CHECK(received.ends_with("whole"));
    REQUIRE(all.runs() == 1);
    CHECK(contains(all.endpoints[0]->requests()[0], "Account: bakery"));
}

TEST_CASE("requests without a route or with an unknown key are refused and reach no endpoint")
{
    fixture all({{answer(200, "Signed: 1\r\n", "x")}});
    CHECK(has_status(all.ask("/nowhere/x"), 404));
    CHECK(has_status(all.ask("/read/x", "other"), 401));
    CHECK(all.runs() == 0);
}

TEST_CASE("a non-idempotent request is not retried or reported as not run after its connection broke")
{
    fixture all({{""}, {answer(200, "Signed: 1\r\n", "second")}});
    CHECK(has_status(all.ask("/order/x"), 502));
    CHECK(all.runs() == 1);
}

TEST_CASE("an idempotent request is retried at another endpoint after its connection broke")
{
    fixture all({{""}, {answer(200, "Signed: 1\r\n", "second")}});
    const auto received = all.ask("/read/x");
    CHECK(has_status(received, 200));
    CHECK(received.ends_with("second"));
}

TEST_CASE("a request that no endpoint ran is refused with a Retry-After header")
{
    fixture all({{answer(503, "Not-Run: 1\r\n", "")}});
    const auto received = all.ask("/order/x");
    CHECK(has_status(received, 503));
    CHECK(contains(received, "Retry-After: 0."));
}

TEST_CASE("an error response of an endpoint is forwarded if no retry succeeds")
{
    fixture all({{answer(500, "Signed: 1\r\n", "own words")}});
    const auto received = all.ask("/read/x");
    CHECK(has_status(received, 500));
    CHECK(received.ends_with("own words"));
}

TEST_CASE("unsigned, mismatched and truncated responses are treated as failures")
{
    fixture unsigned_answer({{answer(200, "", "stray")}});
    CHECK(has_status(unsigned_answer.ask("/order/x"), 502));
    fixture other_request({{answer(200, "Signed: 1\r\nId: 8\r\n", "stray")}});
    CHECK(has_status(other_request.ask("/order/x"), 502));
    fixture truncated({{"HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 50\r\n\r\nhalf"}});
    CHECK(has_status(truncated.ask("/order/x"), 502));
}

TEST_CASE("a resumable stream that breaks off within an event is resumed at another endpoint")
{
    const auto first = stream_head + chunk("id: 1\ndata: a\n\nid: 2\nda");
    const auto second = stream_head + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + last_chunk;
    fixture all({{first}, {second}});
    const auto received = all.ask("/resumable/x");
    CHECK(contains(received, "id: 1\ndata: a\n\n"));
    CHECK(contains(received, "id: 2\ndata: b\n\n"));
    CHECK(contains(received, "id: 3\ndata: c\n\n"));
    CHECK(received.ends_with(last_chunk));
    REQUIRE(all.runs() == 2);
    CHECK(contains(all.endpoints[1]->requests()[0], "After: 1"));
}

TEST_CASE("a stream that is not resumable does not look complete when it breaks off")
{
    const auto first = stream_head + chunk("id: 1\ndata: a\n\nid: 2\nda");
    fixture all({{first}, {stream_head + last_chunk}});
    const auto received = all.ask("/stream/x");
    CHECK(contains(received, "id: 1\ndata: a\n\n"));
    CHECK_FALSE(received.ends_with(last_chunk));
    CHECK(all.runs() == 1);
}

} // namespace siskinwharf::forwarding
