// What a second endpoint sends when it is to go on with a stream that broke off.

#include <catch2/catch.hpp>

#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

namespace {

using fixture = forwarding_fixture;

constexpr const char* last_chunk = "0\r\n\r\n";
const std::string event_type = "Content-Type: text/event-stream\r\n";
const std::string unframed_head = "HTTP/1.1 200 OK\r\nSigned: 1\r\n" + event_type + "\r\n";
const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n" + event_type + "\r\n";
const std::string first_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string broken_stream = chunked_head + chunk(first_events) + chunk("id: 3\nda");

/// The body of a chunked response without its chunk heads, and whether it ended.
struct received_stream {
    std::string events;
    bool is_complete = false;
};

received_stream parse(const std::string& received)
{
    received_stream result;
    auto rest = received.substr(received.find("\r\n\r\n") + 4);
    while (!rest.empty()) {
        const auto size = std::stoul(rest, nullptr, 16);
        const auto start = rest.find("\r\n") + 2;
        if (size == 0) {
            result.is_complete = true;
            return result;
        }
        result.events += rest.substr(start, size);
        rest.erase(0, start + size + 2);
    }
    return result;
}

received_stream resume_with(const std::string& second)
{
    fixture all({{broken_stream}, {second}});
    return parse(all.ask("/resumable/x"));
}

struct continuation {
    const char* name;
    std::string bytes;
};

} // namespace

TEST_CASE("an error of the next endpoint does not get into a stream that broke off, nor complete it")
{
    const std::string text = "Sorry.\n\nHTTP/1.1 500 X\n\n";
    const continuation cases[] = {
        {"404", answer(404, "Signed: 1\r\n" + event_type, text)},
        {"500", answer(500, "Signed: 1\r\n", text)},
        {"500 as a stream", answer(500, "Signed: 1\r\n" + event_type, "id: 3\ndata: c\n\n")},
        {"503 that ran", answer(503, "Signed: 1\r\n", text)},
        {"503 that did not run", answer(503, "Not-Run: 1\r\n", text)},
        {"421", answer(421, "", text)},
        {"502 of something between", answer(502, "", text)},
        {"nothing", ""},
        {"part of a head", "HTTP/1.1 200 OK\r\nSigned: 1\r\n"},
        {"no response", text},
        {"200 with a text", answer(200, "Signed: 1\r\nContent-Type: text/plain\r\n", text)},
        {"200 without a type", answer(200, "Signed: 1\r\n", text)},
        {"200 with JSON", answer(200, "Signed: 1\r\nContent-Type: application/json\r\n", "{}\n\n")},
        {"200 without a body", answer(200, "Signed: 1\r\n", "")},
        {"204", "HTTP/1.1 204 X\r\nSigned: 1\r\n" + event_type + "\r\n"},
        {"another success", answer(206, "Signed: 1\r\n" + event_type, "id: 3\ndata: c\n\n")},
        {"a text as a stream", answer(200, "Signed: 1\r\n" + event_type, text)},
        {"a stream whose end is the end of the connection, without an event", unframed_head},
        {"events without ids", answer(200, "Signed: 1\r\n" + event_type, "data: c\n\n")},
        {"events with other ids", answer(200, "Signed: 1\r\n" + event_type, "id: x\ndata: c\n\n")},
        {"a stream that starts again and ends before",
         answer(200, "Signed: 1\r\n" + event_type, "id: 1\ndata: a\n\n")},
    };
    for (const auto& [name, bytes] : cases) {
        INFO(name);
        const auto received = resume_with(bytes);
        CHECK(received.events == first_events);
        CHECK_FALSE(received.is_complete);
    }
}

TEST_CASE("the events before one without a place in a resumed stream are not lost")
{
    const auto received =
        resume_with(chunked_head + chunk("id: 3\ndata: c\n\ndata: x\n\nid: 4\ndata: d\n\n") + last_chunk);
    CHECK(received.events == first_events + "id: 3\ndata: c\n\n");
    CHECK_FALSE(received.is_complete);
}

TEST_CASE("a resumed stream reaches the caller once and whole, also if it starts again at its first event")
{
    const std::string third = "id: 3\ndata: c\n\n";
    const continuation cases[] = {
        {"from the next event", chunked_head + chunk(third) + last_chunk},
        {"from the first event", chunked_head + chunk(first_events) + chunk(third) + last_chunk},
        {"from the last event", chunked_head + chunk("id: 2\ndata: b\n\n") + chunk(third) + last_chunk},
        {"with a parameter of the type",
         answer(200, "Signed: 1\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n", third)},
        {"until the end of the connection", unframed_head + third},
    };
    for (const auto& [name, bytes] : cases) {
        INFO(name);
        const auto received = resume_with(bytes);
        CHECK(received.events == first_events + third);
        CHECK(received.is_complete);
    }
    const auto ended = resume_with(chunked_head + last_chunk);
    CHECK(ended.events == first_events);
    CHECK(ended.is_complete);
}

TEST_CASE("a stream whose last event has no id is not started again after it broke off")
{
    const auto first = chunked_head + chunk("id: 1\ndata: a\n\n") + chunk("data: b\n\n");
    fixture all({{first}, {chunked_head + chunk("data: b\n\n") + last_chunk}});
    const auto received = parse(all.ask("/resumable/x"));
    CHECK(all.runs() == 1);
    CHECK(received.events == "id: 1\ndata: a\n\ndata: b\n\n");
    CHECK_FALSE(received.is_complete);
}

} // namespace siskinwharf::forwarding
