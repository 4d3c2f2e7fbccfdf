#include <catch2/catch.hpp>

#include "answer_check.h"
#include "engine.h"
#include "json.h"
#include "running_standin.h"
#include "test_client.h"

namespace siskinwharf::standins {

namespace {

namespace json = boost::json;

engine_options fast_options()
{
    engine_options options;
    options.prefill_tokens_per_second = 1e6;
    options.decode_ms_per_token = 0.1;
    options.load_lag_ms = 0;
    return options;
}

/// Never finishes a prefill in the time of a test.
engine_options stuck_options()
{
    engine_options options = fast_options();
    options.prefill_tokens_per_second = 0.001;
    options.capacity = 1;
    options.queue_limit = 1;
    return options;
}

/// Tokens of a stream that a slowly decoding engine does not finish in the time of a test.
constexpr std::uint64_t long_answer = 10'000;

/// Leaves time to move a stream in the middle.
engine_options slow_decode_options()
{
    engine_options options = fast_options();
    options.decode_ms_per_token = 2;
    options.kv_megabytes_per_second = 1e6;
    return options;
}

struct running_engine : running_standin<engine> {
    explicit running_engine(const engine_options& options = fast_options())
        : running_standin<engine>([&options](boost::asio::io_context& context, process_actions actions) {
              return std::make_unique<engine>(context, options, std::move(actions));
          })
    {
    }
};

std::string stream_body(const std::string& id, const std::string& prompt, std::uint64_t max_tokens,
                        std::uint64_t produced = 0, std::int64_t attempt = 1)
{
    return json::serialize(json::object{{"stream_id", id},
                                        {"attempt", attempt},
                                        {"model", "model"},
                                        {"version", "1"},
                                        {"prompt", prompt},
                                        {"produced", json::value_from(expected_answer(prompt, produced))},
                                        {"max_tokens", max_tokens}});
}

/// Reads the tokens of an open stream from `offset` to its end and checks each against the expected answer.
/// Returns the offset of the line `done`, or nothing if that line or the last chunk is missing.
std::optional<std::uint64_t> check_answer(test_client& client, const std::string& prompt,
                                          std::uint64_t offset)
{
    while (const auto line = client.next_line()) {
        const json::object object = parse_object(*line);
        if (boolean_member(object, "done")) {
            CHECK(static_cast<std::uint64_t>(integer_member(object, "offset")) == offset);
            CHECK_FALSE(client.next_line());
            return client.complete() ? std::optional(offset) : std::nullopt;
        }
        CHECK(static_cast<std::uint64_t>(integer_member(object, "offset")) == offset);
        CHECK(string_member(object, "token") == answer_token(prompt, offset));
        ++offset;
    }
    return std::nullopt;
}

/// Reads `count` tokens of an open stream from `offset` and checks each against the expected answer.
void check_tokens(test_client& client, const std::string& prompt, std::uint64_t offset, std::uint64_t count)
{
    for (const std::uint64_t end = offset + count; offset < end; ++offset) {
        const auto line = client.next_line();
        REQUIRE(line);
        const json::object object = parse_object(*line);
        CHECK(static_cast<std::uint64_t>(integer_member(object, "offset")) == offset);
        CHECK(string_member(object, "token") == answer_token(prompt, offset));
    }
}

json::object statistics(std::uint16_t port)
{
    return test_client(port).request("GET", "/stats").json();
}

} // namespace

TEST_CASE("a continuation on another engine yields the rest of the same answer")
{
    const running_engine engine;
    const auto produced = GENERATE(0U, 1U, 19U, 20U);
    CAPTURE(produced);
    test_client client(engine.port());
    const std::string id = "s" + std::to_string(produced);
    REQUIRE(client.open("POST", "/streams", stream_body(id, "bake two loaves", 20, produced)) == 200);
    CHECK(check_answer(client, "bake two loaves", produced) == 20);
    CHECK(statistics(engine.port()).at("wrong_produced") == 0);
    // The same connection serves the next request.
    CHECK(client.request("GET", "/load").status == 200);
}

TEST_CASE("tokens that are not those of the answer are counted, so that a mixed-up answer is noticed")
{
    const running_engine engine;
    test_client client(engine.port());
    client.request("POST", "/streams",
                   R"({"stream_id":"s","model":"model","prompt":"a","produced":["t1"],"max_tokens":2})");
    CHECK(statistics(engine.port()).at("wrong_produced") == 1);
}

TEST_CASE("the response header comes with the admission, before the prefill")
{
    const running_engine engine(stuck_options());
    test_client first(engine.port());
    CHECK(first.open("POST", "/streams", stream_body("a", "one two three four", 5)) == 200);
    test_client queued(engine.port());
    CHECK(queued.open("POST", "/streams", stream_body("b", "one", 5)) == 200);
    // Batch and queue are full.
    test_client refused(engine.port());
    const test_answer answer = refused.request("POST", "/streams", stream_body("c", "one", 5));
    CHECK(answer.status == 429);
    CHECK(answer.body == R"({"error":"full"})");
}

TEST_CASE("new streams are refused with the reason")
{
    struct refusal_case {
        const char* fault;
        std::string body;
        unsigned status;
        const char* error;
    };
    const auto example = GENERATE(
        refusal_case{"{}", R"({"stream_id":"s","model":"other","prompt":"a"})", 404, "model_not_loaded"},
        refusal_case{"{}", R"({"stream_id":"s","model":"model","version":"2","prompt":"a"})", 404,
                     "model_not_loaded"},
        refusal_case{R"({"leave_in_ms":60000})", stream_body("s", "a", 1), 409, "leaving"},
        refusal_case{"{}", R"({"model":"model","prompt":"a"})", 400, "bad_request"},
        refusal_case{"{}", R"({"stream_id":"s","model":"model","prompt":"a","max_tokens":-1})", 400,
                     "bad_request"},
        refusal_case{"{}", stream_body("known", "a", 1), 409, "stale_attempt"},
        refusal_case{"{}", "[", 400, "bad_request"});
    CAPTURE(example.body);
    const running_engine engine;
    test_client client(engine.port());
    client.request("POST", "/streams", stream_body("known", "a", 1));
    client.request("POST", "/faults", example.fault);
    const test_answer answer = client.request("POST", "/streams", example.body);
    CHECK(answer.status == example.status);
    CHECK(answer.json().at("error") == example.error);
}

TEST_CASE("a stream outlives its connection and is resumed from any offset")
{
    const running_engine engine(slow_decode_options());
    {
        test_client lost(engine.port());
        REQUIRE(lost.open("POST", "/streams", stream_body("s", "a b", 30)) == 200);
        lost.next_line();
    }
    const auto offset = GENERATE(0U, 1U, 30U);
    test_client resumed(engine.port());
    REQUIRE(resumed.open("GET", "/streams/s?offset=" + std::to_string(offset)) == 200);
    CHECK(check_answer(resumed, "a b", offset) == 30);
}

TEST_CASE("a resumed stream ends the older connection in the middle of its body")
{
    const running_engine engine(stuck_options());
    test_client older(engine.port());
    REQUIRE(older.open("POST", "/streams", stream_body("s", "one two three four", 5)) == 200);
    test_client newer(engine.port());
    REQUIRE(newer.open("GET", "/streams/s?offset=0") == 200);
    CHECK_FALSE(older.next_line());
    CHECK_FALSE(older.complete());
}

TEST_CASE("a stream without a connection is forgotten after its time")
{
    engine_options options = stuck_options();
    options.linger_ms = 1;
    const running_engine engine(options);
    {
        test_client lost(engine.port());
        REQUIRE(lost.open("POST", "/streams", stream_body("s", "one two three four", 5)) == 200);
        // A connected stream stays, however long its prefill takes.
        CHECK(statistics(engine.port()).at("known_streams") == 1);
    }
    CHECK(eventually([&engine] { return statistics(engine.port()).at("known_streams") == 0; }));
    CHECK(statistics(engine.port()).at("cancelled") == 1);
    test_client client(engine.port());
    CHECK(client.request("GET", "/streams/s?offset=0").body == R"({"error":"unknown_stream"})");
}

TEST_CASE("a cancelled stream ends and frees its place")
{
    const running_engine engine(stuck_options());
    test_client reader(engine.port());
    REQUIRE(reader.open("POST", "/streams", stream_body("s", "one two three four", 5)) == 200);
    test_client client(engine.port());
    CHECK(client.request("DELETE", "/streams/s").status == 200);
    CHECK(reader.next_line() == R"({"cancelled":true,"offset":0})");
    CHECK(client.request("GET", "/load").json().at("free") == 1);
    CHECK(client.request("DELETE", "/streams/s").status == 404);
}

TEST_CASE("a later attempt replaces the stream of an earlier one")
{
    const running_engine engine(stuck_options());
    test_client earlier(engine.port());
    REQUIRE(earlier.open("POST", "/streams", stream_body("s", "one two three four", 5, 0, 1)) == 200);
    test_client later(engine.port());
    REQUIRE(later.open("POST", "/streams", stream_body("s", "one two three four", 5, 0, 2)) == 200);
    CHECK(earlier.next_line() == R"({"cancelled":true,"offset":0})");
    CHECK(statistics(engine.port()).at("known_streams") == 1);
}

TEST_CASE("a moved stream continues without prefill, and its origin can take it back")
{
    const bool import_succeeds = GENERATE(true, false);
    const running_engine origin(slow_decode_options());
    const running_engine target;
    test_client reader(origin.port());
    REQUIRE(reader.open("POST", "/streams", stream_body("s", "a b c", long_answer)) == 200);
    check_tokens(reader, "a b c", 0, 1);
    test_client client(origin.port());
    const test_answer exported = client.request("POST", "/streams/s/export");
    REQUIRE(exported.status == 200);
    const auto offset = static_cast<std::uint64_t>(integer_member(exported.json(), "offset"));
    CHECK(exported.json().at("bytes") == (offset + 3) * 131'072);
    if (import_succeeds) {
        const json::object body{{"stream_id", "s"}, {"attempt", 2}, {"kv", exported.json().at("kv")}};
        test_client importer(target.port());
        REQUIRE(importer.open("POST", "/streams/import", json::serialize(body)) == 200);
        check_tokens(importer, "a b c", offset, 20);
        CHECK(statistics(target.port()).at("prefilled_tokens") == 0);
    } else {
        test_client truncated(target.port());
        const std::string kv = json::serialize(exported.json().at("kv")).substr(0, 40) + "\"";
        CHECK(truncated.request("POST", "/streams/import", R"({"stream_id":"s","kv":)" + kv + "}").status ==
              400);
        REQUIRE(client.open("GET", "/streams/s?offset=0") == 200);
        check_tokens(client, "a b c", 0, offset + 20);
        CHECK(statistics(origin.port()).at("prefilled_tokens") == 3);
    }
}

TEST_CASE("a stream that has no complete KV cache is not exported")
{
    const running_engine engine(stuck_options());
    test_client reader(engine.port());
    REQUIRE(reader.open("POST", "/streams", stream_body("s", "one two three four", 5)) == 200);
    test_client client(engine.port());
    CHECK(client.request("POST", "/streams/s/export").body == R"({"error":"not_decoding"})");
}

TEST_CASE("a selected prompt crashes the engine after its admission")
{
    struct crash_case {
        const char* fault;
        const char* prompt;
        bool crashes;
    };
    const auto example =
        GENERATE(crash_case{"{}", "please POISON this", true}, crash_case{"{}", "NOTPOISON", false},
                 crash_case{R"({"crash_on":"bad"})", "a badly shaped loaf", true},
                 crash_case{R"({"crash_on":"bad"})", "a fine loaf", false});
    CAPTURE(example.prompt);
    const running_engine engine;
    test_client client(engine.port());
    client.request("POST", "/faults", example.fault);
    CHECK(client.open("POST", "/streams", stream_body("s", example.prompt, 3)) == 200);
    while (client.next_line()) {
    }
    CHECK(engine.crashed() == example.crashes);
}

TEST_CASE("time faults take at least the time that they state")
{
    struct time_case {
        const char* fault;
        milliseconds least;
    };
    const auto example = GENERATE(time_case{R"({"freeze_ms":60})", milliseconds(60)},
                                  time_case{R"({"slow_factor":100})", milliseconds(50)});
    CAPTURE(example.fault);
    const running_engine engine;
    test_client client(engine.port());
    const auto start = std::chrono::steady_clock::now();
    client.request("POST", "/faults", example.fault);
    CHECK(client.request("POST", "/streams", stream_body("s", "a", 5)).status == 200);
    CHECK(std::chrono::steady_clock::now() - start >= example.least);
}

TEST_CASE("an export takes time by its size")
{
    engine_options options = slow_decode_options();
    options.kv_bytes_per_token = 10'000;
    options.kv_megabytes_per_second = 10;
    const running_engine engine(options);
    test_client reader(engine.port());
    REQUIRE(reader.open("POST", "/streams", stream_body("s", "a b c", long_answer)) == 200);
    check_tokens(reader, "a b c", 0, 5);
    const json::object body = test_client(engine.port()).request("POST", "/streams/s/export").json();
    // 10,000 bytes at 10 MB/s are 1 ms for each token.
    CHECK(integer_member(body, "tokens") >= 8);
    CHECK(integer_member(body, "export_ms") == integer_member(body, "tokens"));
}

TEST_CASE("a leaving engine exits at its time")
{
    const running_engine engine;
    test_client client(engine.port());
    client.request("POST", "/faults", R"({"leave_in_ms":1})");
    CHECK(eventually([&engine] { return engine.exited(); }));
    CHECK(client.request("GET", "/load").json().at("leaving") == true);
}

TEST_CASE("dropped connections end without the last chunk, and their streams go on")
{
    const running_engine engine(slow_decode_options());
    test_client reader(engine.port());
    REQUIRE(reader.open("POST", "/streams", stream_body("s", "a b c", long_answer)) == 200);
    test_client client(engine.port());
    CHECK(client.request("POST", "/faults", R"({"drop_connections":true})").status == 200);
    while (reader.next_line()) {
    }
    CHECK_FALSE(reader.complete());
    REQUIRE(client.open("GET", "/streams/s?offset=0") == 200);
    check_tokens(client, "a b c", 0, 20);
}

TEST_CASE("duplicated and reordered lines carry the offsets that put them right")
{
    const running_engine engine;
    test_client client(engine.port());
    client.request("POST", "/faults", R"({"duplicate_every":3,"reorder_every":4})");
    REQUIRE(client.open("POST", "/streams", stream_body("s", "a", 20)) == 200);
    std::map<std::uint64_t, std::string> tokens;
    std::size_t lines = 0;
    while (const auto line = client.next_line()) {
        const json::object object = parse_object(*line);
        if (!object.contains("token"))
            continue;
        ++lines;
        tokens[static_cast<std::uint64_t>(integer_member(object, "offset"))] = string_member(object, "token");
    }
    CHECK(lines > 20);
    REQUIRE(tokens.size() == 20);
    for (const auto& [offset, token] : tokens)
        CHECK(token == answer_token("a", offset));
}

TEST_CASE("orders over HTTP are refused, loaded and read back")
{
    engine_options options = fast_options();
    options.load_model_ms = 1;
    const running_engine engine(options);
    test_client client(engine.port());
    const char* order = R"({"fencing":5,"wanted":{"models":[{"model":"m2","version":"3"}],"role":"decode"}})";
    CHECK(client.request("POST", "/orders", order).status == 200);
    const test_answer refused = client.request("POST", "/orders", R"({"fencing":4,"wanted":{}})");
    CHECK(refused.status == 409);
    CHECK(refused.body == R"({"error":"stale_fencing","highest":5})");
    CHECK(eventually([&client] {
        return client.request("GET", "/orders").json().at("models").at(0).at("state") == "loaded";
    }));
    CHECK(client.request("POST", "/streams", R"({"stream_id":"s","model":"m2","prompt":"a"})").status == 200);
}

} // namespace siskinwharf::standins
