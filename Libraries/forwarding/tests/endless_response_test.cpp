#include <catch2/catch.hpp>

#include "endless_endpoint.h"
#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

namespace {

/// A response that does not end, up to where it repeats itself.
struct endless_response {
    const char* name;
    const char* path;
    std::string prefix;
    std::string repeated;
};

std::string block(char byte)
{
    return std::string(64U << 10U, byte);
}

std::string chunk_of(const std::string& bytes)
{
    return "10000\r\n" + bytes + "\r\n";
}

std::vector<endless_response> endless_responses()
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"bytes that are no response", "/order/x", "", block('x')},
        {"a header field without end", "/order/x", "HTTP/1.1 200 OK\r\nLong: ", block('x')},
        {"header fields without end", "/order/x", "HTTP/1.1 200 OK\r\n", "More: 1\r\n"},
        {"an interim response again and again", "/order/x", "", "HTTP/1.1 103 Early\r\n\r\n"},
        {"the extension of a chunk without end", "/order/x", chunked + "5;", block('x')},
        {"trailer fields without end", "/order/x", chunked + "1\r\na\r\n0\r\n", "More: 1\r\n"},
        {"a body without end", "/order/x", chunked, chunk_of(block('x'))},
        {"a body that ends with its connection", "/order/x", "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n",
         block('x')},
        {"an event without end", "/stream/x", chunked, chunk_of(block('x'))},
    };
}

/// The largest buffers that a connection may fill: those of the sockets and of one response.
constexpr std::size_t maximum_taken = 32U << 20U;

} // namespace

TEST_CASE("bytes without end from an endpoint fill no memory, and the caller is answered in time")
{
    const auto responses = endless_responses();
    const auto index = GENERATE_COPY(range(std::size_t{0}, responses.size()));
    const auto& response = responses[index];
    CAPTURE(response.name);
    forwarding_fixture all({});
    endless_endpoint endpoint(all.context, response.prefix, response.repeated);
    all.set_ports({endpoint.port()});
    const auto started = std::chrono::steady_clock::now();
    const auto received = all.ask(response.path);
    // The timeout of the route and the time to notice it.
    CHECK(std::chrono::steady_clock::now() - started < milliseconds(3'000));
    CHECK(endpoint.written() < maximum_taken);
    // What the caller got is an error or looks incomplete.
    if (received.starts_with("HTTP/1.1 200"))
        CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    else
        CHECK((received.starts_with("HTTP/1.1 502") || received.starts_with("HTTP/1.1 504")));
    // The connection is not kept for another request.
    all.context.restart();
    all.context.run_for(milliseconds(100));
    CHECK(endpoint.open_connections() == 0);
}

TEST_CASE("a resumable stream that sends bytes but no event goes on at another endpoint")
{
    // Guards against a stalled endpoint that sends a byte now and then and is never given up.
    const auto head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string drip = GENERATE("1\r\n:\r\n", "1\r\n\n\r\n", ";");
    const auto first = std::string(head) + chunk("id: 1\ndata: a\n\n") + (drip == ";" ? "1" : "");
    const auto second = stream_head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    forwarding_fixture all({{second}});
    endless_endpoint stalled(all.context, first, drip, milliseconds(100));
    all.set_ports({stalled.port(), all.endpoints[0]->port()});
    const auto received = all.ask("/resumable/x");
    CHECK(received.find("id: 1\ndata: a\n\n") != std::string::npos);
    CHECK(received.find("id: 2\ndata: b\n\n") != std::string::npos);
    CHECK(received.ends_with("0\r\n\r\n"));
}

TEST_CASE("a response that keeps arriving after the deadline is ended")
{
    // Guards against reads that never time out because bytes are always there. The parts are so small
    // that the limit on the size of a response is not reached.
    forwarding_fixture all({});
    const std::string head = "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n";
    endless_endpoint endpoint(all.context, head, std::string(64, 'x'), milliseconds(0));
    all.set_ports({endpoint.port()});
    const auto started = std::chrono::steady_clock::now();
    const auto received = all.ask("/order/x");
    CHECK(std::chrono::steady_clock::now() - started < milliseconds(3'000));
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream whose events are further apart than usual is delivered whole")
{
    // Guards against slow but sound streams that are cut although no other endpoint could take over.
    const auto first = stream_head + chunk("id: 1\ndata: a\n\n");
    const auto second = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    forwarding_fixture all({});
    endless_endpoint slow(all.context, first, second, milliseconds(1'600));
    all.set_ports({slow.port()});
    const auto received = all.ask("/stream/x");
    CHECK(received.find("id: 2\ndata: b\n\n") != std::string::npos);
    CHECK(received.ends_with("0\r\n\r\n"));
}

} // namespace siskinwharf::forwarding
