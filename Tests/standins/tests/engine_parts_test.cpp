#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "answer_check.h"
#include "batch_scheduler.h"
#include "cache_event_log.h"
#include "json.h"
#include "load_reports.h"
#include "model_orders.h"
#include "token_lines.h"

namespace siskinwharf::standins {

namespace {

constexpr monotonic_time start_time{seconds(1000)};

/// A scheduler in virtual time.
class scheduler_under_test {
public:
    explicit scheduler_under_test(const engine_options& options) : scheduler(options) {}

    std::shared_ptr<engine_stream> add(const std::string& prompt, std::uint64_t produced = 0,
                                       std::int64_t priority = 0)
    {
        auto stream = std::make_shared<engine_stream>(m_context.get_executor());
        stream->model = "m";
        stream->prompt = prompt;
        stream->priority = priority;
        stream->arrival = ++m_arrivals;
        stream->max_tokens = 1000;
        stream->answer = expected_answer(prompt, produced);
        stream->first_offset = produced;
        stream->context = split_tokens(prompt);
        stream->context.insert(stream->context.end(), stream->answer.begin(), stream->answer.end());
        scheduler.add(stream);
        return stream;
    }
    nanoseconds step()
    {
        const nanoseconds duration = scheduler.begin_step();
        scheduler.finish_step();
        return duration;
    }

private:
    boost::asio::io_context m_context;
    std::uint64_t m_arrivals = 0;

public:
    batch_scheduler scheduler;
};

std::string words(std::size_t count, const std::string& word)
{
    std::string text;
    for (std::size_t index = 0; index < count; ++index)
        text += word + std::to_string(index) + " ";
    return text;
}

engine_options test_options()
{
    engine_options options;
    options.prefill_tokens_per_second = 1000;
    options.decode_ms_per_token = 20;
    options.batch_slowdown = 0.5;
    return options;
}

} // namespace

TEST_CASE("a cached prefix costs no prefill, so that prefix affinity can be measured")
{
    scheduler_under_test test(test_options());
    test.add(words(64, "a"));
    CHECK(test.step() == milliseconds(64));
    // 64 tokens in common, 16 of its own; the first stream decodes in the same step.
    test.add(words(64, "a") + words(16, "b"));
    CHECK(test.step() == milliseconds(16 + 20));
    CHECK(test.scheduler.counters().cached == 64);
    CHECK(test.scheduler.counters().prefilled == 80);
}

TEST_CASE("tokens produced elsewhere count as recomputed prefill")
{
    scheduler_under_test test(test_options());
    const auto stream = test.add(words(10, "a"), 30);
    CHECK(test.step() == milliseconds(40));
    CHECK(test.scheduler.counters().recomputed == 40);
    test.step();
    CHECK(stream->answer == expected_answer(stream->prompt, 31));
}

TEST_CASE("a long prompt is prefilled in parts, so that it does not stall the streams beside it")
{
    engine_options options = test_options();
    options.prefill_chunk_tokens = 100;
    scheduler_under_test test(options);
    const auto decoding = test.add("short");
    test.step();
    test.add(words(250, "a"));
    for (const int prefilled : {100, 100, 50})
        CHECK(test.step() == milliseconds(prefilled + 20));
    CHECK(decoding->answer.size() == 3);
}

TEST_CASE("a decoding step takes longer with a larger batch")
{
    scheduler_under_test test(test_options());
    test.add("a");
    test.add("b");
    test.add("c");
    test.step();
    CHECK(test.step() == milliseconds(40));
}

TEST_CASE("the queue is served by priority and then by arrival, and is bounded")
{
    engine_options options = test_options();
    options.capacity = 1;
    options.queue_limit = 3;
    scheduler_under_test test(options);
    const auto running = test.add("running");
    test.step();
    const auto low = test.add("low", 0, 0);
    const auto high = test.add("high", 0, 5);
    CHECK(test.scheduler.has_room());
    test.add("later", 0, 5);
    CHECK_FALSE(test.scheduler.has_room());
    test.scheduler.remove(*running);
    test.step();
    CHECK(high->in_batch());
    CHECK(low->phase == stream_phase::queued);
}

TEST_CASE("the prefix cache is bounded and keeps the start of a prefix longest")
{
    prefix_cache cache(3);
    CHECK(cache.store({1, 2, 3}).size() == 3);
    CHECK(cache.match({1, 2, 3}) == 3);
    const auto changes = cache.store({9});
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].block == 3);
    CHECK_FALSE(changes[0].stored);
    CHECK(cache.size() == 3);
    CHECK(cache.match({1, 2, 3}) == 2);
    prefix_cache none(0);
    CHECK(none.store({1}).empty());
}

TEST_CASE("the answer check notices a wrong, missing, repeated and surplus token")
{
    struct answer_case {
        std::vector<std::uint64_t> indices; ///< Of the tokens that arrive.
        std::uint64_t accepted;
        bool complete;
    };
    const auto example = GENERATE(answer_case{{0, 1, 2}, 3, true}, answer_case{{0, 1}, 2, false},
                                  answer_case{{0, 0, 1, 2}, 1, false}, answer_case{{0, 2, 1}, 1, false},
                                  answer_case{{0, 1, 2, 3}, 3, false}, answer_case{{}, 0, false});
    answer_check check("a prompt", 3);
    for (const std::uint64_t index : example.indices)
        check.accept(answer_token("a prompt", index));
    CHECK(check.accepted() == example.accepted);
    CHECK(check.complete() == example.complete);
    CHECK_FALSE(answer_check("a prompt", 1).accept(answer_token("another prompt", 0)));
}

TEST_CASE("equal block hashes mean equal prefixes of the same model")
{
    const auto tokens = split_tokens(words(40, "a"));
    auto changed = tokens;
    changed[0] = "x";
    const auto hashes = block_hashes("m", "1", tokens);
    CHECK(hashes.size() == 2);
    CHECK(hashes[1] != block_hashes("m", "1", changed)[1]);
    CHECK(hashes[1] != block_hashes("m", "2", tokens)[1]);
}

TEST_CASE("cache events come late and with gaps in their numbers")
{
    engine_options options;
    options.cache_event_lag_ms = 100;
    options.cache_event_gap_percent = 50;
    cache_event_log log(options);
    log.append(std::vector<cache_change>(200, cache_change{7, true}), start_time);
    CHECK(log.read(0, start_time + milliseconds(99)).at("events").as_array().empty());
    const auto later = log.read(0, start_time + milliseconds(100));
    const std::size_t count = later.at("events").as_array().size();
    CHECK(count > 50);
    CHECK(count < 150);
    const auto last = static_cast<std::uint64_t>(integer_member(later, "last"));
    CHECK(log.read(last, start_time + seconds(1)).at("events").as_array().empty());
}

TEST_CASE("a load report shows the load of an earlier time")
{
    engine_options options;
    options.load_lag_ms = 100;
    options.capacity = 4;
    load_reports reports(options);
    reports.record({}, 0, start_time);
    reports.record({3, 2, 0, false}, 50, start_time + milliseconds(50));
    CHECK(integer_member(reports.report(start_time + milliseconds(149)), "in_flight") == 0);
    const auto report = reports.report(start_time + milliseconds(150));
    CHECK(integer_member(report, "in_flight") == 3);
    CHECK(integer_member(report, "free") == 0);
    CHECK(integer_member(report, "tokens_per_second") == 50);
    CHECK(integer_member(report, "sequence") == 2);
}

TEST_CASE("a stale fencing token is refused only where tokens are checked")
{
    struct fencing_case {
        const char* fencing;
        std::int64_t token;
        bool applied;
    };
    const auto example = GENERATE(fencing_case{"checked", 6, false}, fencing_case{"checked", 7, true},
                                  fencing_case{"checked", 8, true}, fencing_case{"ignored", 6, true});
    CAPTURE(example.fencing, example.token);
    engine_options options;
    options.fencing = example.fencing;
    model_orders orders(options, start_time);
    REQUIRE(orders.apply(parse_object(R"({"fencing":7,"wanted":{"models":[]}})"), start_time));
    const std::string order =
        R"({"fencing":)" + std::to_string(example.token) + R"(,"wanted":{"role":"prefill"}})";
    CHECK(orders.apply(parse_object(order), start_time) == example.applied);
    CHECK(string_member(orders.describe(start_time), "role") == (example.applied ? "prefill" : "both"));
}

TEST_CASE("models load one after another, and a repeated order does not load them again")
{
    engine_options options;
    options.load_model_ms = 100;
    options.load_adapter_ms = 10;
    model_orders orders(options, start_time);
    const auto order = parse_object(R"({"fencing":1,"wanted":{"models":[{"model":"model","version":"1"},
        {"model":"a","version":"1"},{"model":"b","version":"1","adapters":["x"]}]}})");
    REQUIRE(orders.apply(order, start_time));
    REQUIRE(orders.apply(order, start_time + milliseconds(99)));
    CHECK(orders.serves("model", "1", "", start_time));
    CHECK_FALSE(orders.serves("a", "1", "", start_time + milliseconds(99)));
    CHECK(orders.serves("a", "1", "", start_time + milliseconds(100)));
    CHECK_FALSE(orders.serves("b", "", "x", start_time + milliseconds(209)));
    CHECK(orders.serves("b", "", "x", start_time + milliseconds(210)));
    CHECK_FALSE(orders.serves("b", "", "y", start_time + milliseconds(210)));
}

// A model that refused streams while an adapter loads made the system tests fail by chance: the first order
// of a lease holder adds the adapters of the sheet.
TEST_CASE("a model goes on serving while an adapter is loaded beside it")
{
    engine_options options;
    options.load_adapter_ms = 10;
    model_orders orders(options, start_time);
    const auto order = parse_object(
        R"({"fencing":1,"wanted":{"models":[{"model":"model","version":"1","adapters":["x"]}]}})");
    REQUIRE(orders.apply(order, start_time));
    CHECK(orders.serves("model", "1", "", start_time));
    CHECK_FALSE(orders.serves("model", "1", "x", start_time + milliseconds(9)));
    CHECK(orders.serves("model", "1", "x", start_time + milliseconds(10)));
}

TEST_CASE("line faults duplicate and reorder lines and lose none")
{
    struct fault_case {
        line_faults faults;
        const char* offsets;
    };
    const auto example = GENERATE(fault_case{{0, 0}, "01234"}, fault_case{{2, 0}, "0112334"},
                                  fault_case{{0, 2}, "02143"}, fault_case{{0, 5}, "01234"});
    token_lines lines;
    std::string text;
    for (std::uint64_t offset = 0; offset < 5; ++offset)
        text += lines.add(offset, "t", example.faults);
    text += lines.flush();
    std::string offsets;
    for (std::size_t found = text.find(':'); found != std::string::npos; found = text.find(':', found + 1)) {
        if (text[found + 1] != '"')
            offsets += text[found + 1];
    }
    CHECK(offsets == example.offsets);
}

} // namespace siskinwharf::standins
