// Bytes that an endpoint sends on a kept connection and that belong to no request or to an earlier one.

#include <catch2/catch.hpp>

#include "forwarding_fixture.h"
#include "kept_endpoint.h"

namespace siskinwharf::forwarding {

namespace {

using fixture = forwarding_fixture;

/// A response of one endpoint, by the id of its request.
std::string whole_answer(const std::string& id)
{
    return answer(200, "Signed: 1\r\nId: " + id + "\r\n", "answer " + id);
}

struct stray_kind {
    const char* name;
    std::string bytes;
};

std::vector<stray_kind> stray_kinds()
{
    return {{"refusal of an earlier request", answer(503, "Not-Run: 1\r\nId: 1\r\n", "")},
            {"refusal without an id", answer(503, "Not-Run: 1\r\n", "")},
            {"refusal without an id, by its status", answer(421, "", "")},
            {"signed refusal without an id", answer(429, "Signed: 1\r\nNot-Run: 1\r\n", "")},
            {"answer to an earlier request", whole_answer("1")},
            {"answer without an id", answer(200, "Signed: 1\r\n", "answer 1")},
            {"error without an id", answer(500, "Signed: 1\r\n", "answer 1")},
            {"error with two ids", answer(500, "Signed: 1\r\nId: 1\r\nId: 2\r\n", "answer 1")},
            {"refusal with two ids", answer(503, "Not-Run: 1\r\nId: 1\r\nId: 2\r\n", "")},
            {"bytes that are no response", "stray"},
            {"end of a line", "\r\n"}};
}

/// What the second caller and the endpoints saw.
struct second_request {
    std::string received;
    std::size_t runs = 0;
};

/// Asks for request 1, waits, then asks for request 2, which must not be repeated, on the same connection if
/// that was kept.
second_request ask_twice(const kept_script& first, milliseconds pause, const kept_script& second)
{
    fixture all({});
    kept_endpoint near(all.context, {first, second});
    kept_endpoint other(all.context, {{{{milliseconds(0), whole_answer("2")}}}});
    all.set_ports({near.port(), other.port()});
    CHECK(all.ask("/order/x", "k", "", "1").ends_with("answer 1"));
    all.run_for(pause);
    second_request result;
    result.received = all.ask("/order/x", "k", "", "2");
    for (const auto& requests : {near.requests(), other.requests()}) {
        for (const auto& request : requests)
            result.runs += request.find("Id: 2\r\n") == std::string::npos ? 0 : 1;
    }
    return result;
}

void check_is_own_or_failed(const second_request& second)
{
    // The endpoint that got the request ran it.
    CHECK(second.runs == 1);
    const bool is_own =
        second.received.starts_with("HTTP/1.1 200") && second.received.ends_with("\r\n\r\nanswer 2");
    const bool is_failure = second.received.starts_with("HTTP/1.1 502");
    INFO(second.received);
    CHECK((is_own || is_failure));
}

} // namespace

TEST_CASE("a response that an endpoint sends again as the next request arrives is not taken for that request")
{
    for (const auto& kind : stray_kinds()) {
        for (const int pause_ms : {0, 1, 20, 500}) {
            INFO(kind.name << ", own response " << pause_ms << " ms later");
            const kept_script first{{{milliseconds(0), whole_answer("1")}}};
            const kept_script second{
                {{milliseconds(0), kind.bytes}, {milliseconds(pause_ms), whole_answer("2")}}};
            check_is_own_or_failed(ask_twice(first, milliseconds(0), second));
        }
    }
}

TEST_CASE("a part of a refusal that joins with the next response does not change what that response says")
{
    const std::string stray = answer(503, "X: y\r\nNot-Run: 1\r\nSigned: 1\r\nId: 1\r\n", "");
    const std::string stray_by_status = answer(421, "X: y\r\n", "");
    for (const auto& whole : {stray, stray_by_status}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            INFO(whole.substr(0, size));
            const kept_script first{{{milliseconds(0), whole_answer("1")}}};
            const kept_script second{{{milliseconds(0), whole.substr(0, size) + whole_answer("2")}}};
            check_is_own_or_failed(ask_twice(first, milliseconds(0), second));
        }
    }
}

TEST_CASE("a connection with bytes after the end of a response is not used for the next request")
{
    for (const auto& kind : stray_kinds()) {
        for (const int pause_ms : {0, 1, 20, 500}) {
            INFO(kind.name << " after " << pause_ms << " ms");
            kept_script first{{{milliseconds(0), whole_answer("1")}, {milliseconds(pause_ms), kind.bytes}}};
            if (pause_ms == 0)
                first.steps = {{milliseconds(0), whole_answer("1") + kind.bytes}};
            const kept_script second{{{milliseconds(0), whole_answer("2")}}};
            const auto result = ask_twice(first, milliseconds(pause_ms + 30), second);
            CHECK(result.runs == 1);
            CHECK(result.received.ends_with("answer 2"));
        }
    }
}

} // namespace siskinwharf::forwarding
