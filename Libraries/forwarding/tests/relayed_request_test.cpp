#include <catch2/catch.hpp>

#include "crash_check.h"
#include "forwarding_fixture.h"
#include "siskinwharf/forwarding/helper_source.h"
#include "siskinwharf/forwarding/path_watch.h"

namespace siskinwharf::forwarding {

namespace {

/// A process behind another one: it takes the requests that this one passes on.
struct helper_process {
    explicit helper_process(forwarding_fixture& all) : fixture(all) { server.start(); }

    forwarding_fixture& fixture;
    http::server server{fixture.context,
                        {"127.0.0.1", 0},
                        http::server_limits{},
                        [this](http::request message, http::response_writer& writer) {
                            return fixture.runner.handle_relayed(std::move(message), writer);
                        }};
};

class fixed_helpers final : public helper_source {
public:
    [[nodiscard]] std::vector<dispatch::helper> helpers() const override { return peers; }
    void add(const std::string& id, std::uint16_t port)
    {
        peers.push_back({instance_id(id), "127.0.0.1", port, dispatch::peer_distance::same_domain});
    }

    std::vector<dispatch::helper> peers;
};

/// A port at which connections are refused.
std::uint16_t closed_port(asio::io_context& context)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// A process whose endpoints refuse connections, and another one, on the same context, that reaches them.
struct cut_process {
    explicit cut_process(const std::vector<std::deque<std::string>>& scripts)
        : reaching(scripts), relay(reaching)
    {
        const auto now = std::chrono::steady_clock::now();
        state.set_configuration(make_content(), now);
        std::vector<dispatch::endpoint_record> records;
        for (std::size_t index = 0; index < 2; ++index)
            records.push_back(forwarding_fixture::make_record(closed_port(reaching.context), index));
        state.set_endpoints(records, now);
        server.start();
        paths.start();
    }

    /// Lets the process find out that its paths are lost.
    void lose_paths()
    {
        for (const auto* id : {"e1", "e2"})
            state.paths().on_connect_failed(endpoint_id(id), std::chrono::steady_clock::now());
        reaching.run_for(milliseconds(250));
        REQUIRE(state.paths().is_lost());
    }

    std::string ask(const std::string& path)
    {
        std::string received;
        asio::co_spawn(
            reaching.context,
            [&]() -> asio::awaitable<void> {
                constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
                asio::ip::tcp::socket socket(reaching.context);
                const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.port());
                co_await socket.async_connect(target, use_tuple);
                const std::string request =
                    "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 7\r\nKey: k\r\nConnection: close\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(request), use_tuple);
                auto buffer = asio::dynamic_buffer(received);
                co_await asio::async_read(socket, buffer, use_tuple);
                reaching.context.stop();
            },
            asio::detached);
        reaching.context.restart();
        reaching.context.run_for(seconds(20));
        return received;
    }

    forwarding_fixture reaching;
    helper_process relay;
    fixed_helpers helpers;
    test_codec codec;
    traffic_state state{make_settings(), 2, usage::wall_time{}, std::chrono::steady_clock::now()};
    fake_origin_source origins{state};
    request_runner runner{
        reaching.context.get_executor(), state, codec, reaching.client, reaching.metrics, origins, &helpers};
    path_watch paths{reaching.context, state};
    http::server server{reaching.context,
                        {"127.0.0.1", 0},
                        http::server_limits{},
                        [this](http::request message, http::response_writer& writer) {
                            return runner.handle(std::move(message), writer);
                        }};
};

const std::string signed_answer = answer(200, "Signed: 1\r\nId: 7\r\n", "whole");

} // namespace

TEST_CASE("requests of a process without a path to endpoints are served through a peer")
{
    // Guards against callers who are served almost never at instances that are cut off from all endpoints.
    cut_process process({{signed_answer}});
    process.helpers.add("reaching", process.relay.server.port());
    process.lose_paths();
    const auto* path = GENERATE("/read/1", "/order/1");
    const auto received = process.ask(path);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.ends_with("whole"));
    CHECK(process.reaching.runs() == 1);
}

TEST_CASE("a stream is passed on through a peer as its events come, and is cut where its endpoint cuts it")
{
    const auto events = chunk("id: 1\n\n") + chunk("id: 2\n\n");
    const auto head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
    const bool is_whole = GENERATE(true, false);
    cut_process process({{head + events + (is_whole ? "0\r\n\r\n" : "")}});
    process.helpers.add("reaching", process.relay.server.port());
    process.lose_paths();
    const auto received = process.ask("/stream/1");
    CHECK(received.find("id: 2") != std::string::npos);
    CHECK(received.ends_with("0\r\n\r\n") == is_whole);
}

TEST_CASE("a request that finds the paths lost on the way goes to a peer, and is charged only there")
{
    // Guards against requests that are refused because they were tried at unreachable endpoints first, and
    // against a quota that is taken twice.
    cut_process process({{signed_answer}});
    process.helpers.add("reaching", process.relay.server.port());
    CHECK(process.ask("/order/1").starts_with("HTTP/1.1 200"));
    CHECK(process.reaching.runs() == 1);
}

TEST_CASE("peers that are cut off too, or are not there, are passed over")
{
    cut_process process({{signed_answer}});
    cut_process other({{signed_answer}});
    other.lose_paths();
    process.helpers.add("older", closed_port(process.reaching.context));
    process.helpers.add("reaching", process.relay.server.port());
    process.lose_paths();
    for (int request = 0; request < 3; ++request)
        process.state.helpers().on_answered(instance_id("older"), std::chrono::steady_clock::now());
    CHECK(process.ask("/order/1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request of a peer is not passed on again, and refused as not run")
{
    // Guards against requests that go around between processes that have all lost their paths.
    cut_process process({{signed_answer}});
    helper_process relay_of_cut(process.reaching);
    process.helpers.add("cut", relay_of_cut.server.port());
    process.lose_paths();
    // The peer loses its paths too.
    process.reaching.state.paths().begin_probe();
    process.reaching.state.paths().end_probe(false, std::chrono::steady_clock::now());
    const auto received = process.ask("/order/1");
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("not_run") != std::string::npos);
    CHECK(received.find("Relay-Refused") == std::string::npos);
    CHECK(process.reaching.runs() == 0);
}

TEST_CASE("endpoints that refuse a process without paths do not count as crashed")
{
    // Guards against the cut of one process that makes its peers refuse sound requests.
    cut_process process({{signed_answer}});
    process.lose_paths();
    asio::co_spawn(process.reaching.context,
                   check_for_crash(process.reaching.context.get_executor(), process.state,
                                   process.state.balancer().find(endpoint_id("e1"))->record,
                                   {request_id("7"), {account_id("bakery"), "digest"}, {}, 0, true}),
                   asio::detached);
    process.reaching.run_for(milliseconds(500));
    CHECK(process.state.quarantine().is_empty());
}

} // namespace siskinwharf::forwarding
