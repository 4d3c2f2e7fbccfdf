// Responses that end early. What the caller gets must not look complete.

#include <catch2/catch.hpp>

#include "forwarding_fixture.h"
#include "kept_endpoint.h"

namespace siskinwharf::forwarding {

namespace {

using fixture = forwarding_fixture;

const std::string body = "first half, second half";
const std::string signed_head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: 7\r\n";

struct whole_response {
    const char* name;
    std::string bytes;
};

std::vector<whole_response> framed_responses()
{
    return {{"length first", signed_head + "Content-Length: 23\r\nX: y\r\n\r\n" + body},
            {"length last", signed_head + "X: y\r\nContent-Length: 23\r\n\r\n" + body},
            {"chunks", signed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, 12)) +
                           chunk(body.substr(12)) + "0\r\n\r\n"},
            {"HTTP/1.0", "HTTP/1.0 200 OK\r\nSigned: 1\r\nId: 7\r\nContent-Length: 23\r\n\r\n" + body}};
}

/// Asks one endpoint for a response that must not be repeated.
std::string ask(const std::string& bytes, connection_end end)
{
    fixture all({});
    kept_endpoint endpoint(all.context, {{{{milliseconds(0), bytes}}, end}});
    all.set_ports({endpoint.port()});
    return all.ask("/order/x");
}

} // namespace

TEST_CASE("a response that is cut at any byte of its header or body does not look complete")
{
    for (const auto end : {connection_end::closed, connection_end::reset}) {
        for (const auto& [name, bytes] : framed_responses()) {
            for (std::size_t size = 0; size < bytes.size(); ++size) {
                INFO(name << " cut to " << size << " bytes");
                CHECK(ask(bytes.substr(0, size), end).starts_with("HTTP/1.1 502"));
            }
            const auto whole = ask(bytes, connection_end::closed);
            CHECK(whole.starts_with("HTTP/1.1 200"));
            CHECK(whole.ends_with("\r\n\r\n" + body));
        }
    }
}

TEST_CASE("a response without a length that is cut in its header or reset does not look complete")
{
    for (const std::string version : {"HTTP/1.0", "HTTP/1.1"}) {
        const auto head = version + " 200 OK\r\nSigned: 1\r\nId: 7\r\n\r\n";
        for (std::size_t size = 0; size < head.size(); ++size) {
            INFO(version << " cut to " << size << " bytes");
            CHECK(ask(head.substr(0, size), connection_end::closed).starts_with("HTTP/1.1 502"));
        }
        for (const auto& part : {std::string(), body}) {
            CHECK(ask(head + part, connection_end::reset).starts_with("HTTP/1.1 502"));
            const auto whole = ask(head + part, connection_end::closed);
            CHECK(whole.starts_with("HTTP/1.1 200"));
            CHECK(whole.ends_with("\r\n\r\n" + part));
        }
    }
}

TEST_CASE("a response with a malformed header or body is a failure")
{
    const std::string malformed[] = {
        "HTTP/2.0 200 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
        "200 OK\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early\r\nSigned: 1\r\n\r\n",
        signed_head + "Content-Length: 23\r\nContent-Length: 5\r\n\r\n" + body,
        signed_head + "Content-Length: -1\r\n\r\n" + body,
        signed_head + "no colon\r\nContent-Length: 23\r\n\r\n" + body,
        signed_head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body + "\r\n0\r\n\r\n",
        signed_head + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body + "\r\n0\r\n\r\n",
    };
    for (const auto& bytes : malformed) {
        INFO(bytes);
        CHECK(ask(bytes, connection_end::closed).starts_with("HTTP/1.1 502"));
    }
}

} // namespace siskinwharf::forwarding
