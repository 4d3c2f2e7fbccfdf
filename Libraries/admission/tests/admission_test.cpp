#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <atomic>
#include <thread>

#include "siskinwharf/admission/admission_control.h"
#include "siskinwharf/admission/fair_queue.h"
#include "siskinwharf/admission/isolation.h"
#include "siskinwharf/admission/retry_budget.h"
#include "siskinwharf/base/digest.h"

namespace siskinwharf::admission {

namespace {

const monotonic_time start{};

content_key key_of(const std::string& body)
{
    return {account_id("bakery"), sha256_hex(body)};
}

} // namespace

TEST_CASE("requests predicted to miss a latency limit are refused on arrival")
{
    using std::chrono::milliseconds;
    struct admission_case {
        std::string name;
        milliseconds deadline, first_token_target;
        admission_estimate estimate;
        bool over_limit;
        double jitter;
        admission_decision expected;
    };
    const auto refused = [](admission_reason reason, std::optional<milliseconds> retry) {
        return admission_decision{not_admitted{outcome::not_run, reason, retry}};
    };
    const milliseconds ms{1};
    // Including the margin of 10%, prefill takes 110 ms and decode 1100 ms.
    const std::vector<admission_case> cases{
        {"first token late by a fraction of a millisecond",
         1310 * ms,
         210 * ms,
         {91 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         admission_decision{not_admitted{outcome::not_run, admission_reason::first_token, 50 * ms}}},
        {"exactly at the limits", 1310 * ms, 220 * ms, {90 * ms, 100 * ms, 1000 * ms}, false, 0, admitted{}},
        {"queue misses the deadline",
         1310 * ms,
         5000 * ms,
         {1000 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         refused(admission_reason::deadline, 1000 * ms)},
        {"retries are spread",
         1310 * ms,
         5000 * ms,
         {1000 * ms, 100 * ms, 1000 * ms},
         false,
         0.5,
         refused(admission_reason::deadline, 1250 * ms)},
        {"queue misses the first token",
         9000 * ms,
         310 * ms,
         {1000 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         refused(admission_reason::first_token, 900 * ms)},
        {"retry time is bounded",
         999'000 * ms,
         310 * ms,
         {100'000 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         refused(admission_reason::first_token, 30'000 * ms)},
        {"too late without a queue",
         1200 * ms,
         5000 * ms,
         {0 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         refused(admission_reason::unattainable, std::nullopt)},
        {"prefill above the target",
         9000 * ms,
         100 * ms,
         {0 * ms, 100 * ms, 1000 * ms},
         false,
         0,
         refused(admission_reason::unattainable, std::nullopt)},
        {"account over its limit",
         9000 * ms,
         5000 * ms,
         {200 * ms, 100 * ms, 1000 * ms},
         true,
         0,
         refused(admission_reason::account_limit, 220 * ms)},
        {"deadline has passed",
         -1 * ms,
         5000 * ms,
         {0 * ms, 0 * ms, 0 * ms},
         false,
         0,
         refused(admission_reason::unattainable, std::nullopt)},
    };
    const admission_control control({});
    for (const auto& each : cases) {
        INFO(each.name);
        CHECK(control.decide({start + each.deadline, each.first_token_target}, each.estimate, each.over_limit,
                             each.jitter, start) == each.expected);
    }
}

TEST_CASE("retries are limited to a fixed share of the load")
{
    const bool passed =
        rc::check("retries <= capacity + percent of first attempts", [](const std::vector<bool>& script) {
            retry_budget budget({10, 3});
            std::size_t attempts = 0;
            std::size_t retries = 0;
            for (const bool first : script) {
                if (first) {
                    ++attempts;
                    budget.on_first_attempt();
                } else if (budget.try_retry()) {
                    ++retries;
                }
                RC_ASSERT(retries * 100 <= 300 + attempts * 10);
            }
        });
    CHECK(passed);
    retry_budget budget({10, 3});
    std::atomic<int> granted{0};
    std::array<std::thread, 4> threads;
    for (auto& thread : threads) {
        thread = std::thread([&] {
            for (int round = 0; round < 1000; ++round) {
                budget.on_first_attempt();
                granted += budget.try_retry() ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(granted <= 403);
    CHECK(granted >= 397);
}

TEST_CASE("two distinct crashes quarantine a request, one crash reported twice does not")
{
    quarantine list({});
    const auto poison = key_of("poison");
    CHECK(list.is_empty());
    CHECK(list.on_crash(poison, 1, start) == content_status::suspect);
    CHECK(list.on_crash(poison, 1, start) == content_status::suspect);
    CHECK(list.on_crash(key_of("bystander"), 1, start) == content_status::suspect);
    list.on_finished(key_of("bystander"), start);
    list.merge({{key_of("bystander"), {1}, seconds{60}}}, start);
    CHECK(list.status(key_of("bystander"), start) == content_status::healthy);
    CHECK(list.on_crash(poison, 2, start) == content_status::quarantined);
    list.on_finished(poison, start);
    CHECK(list.status(poison, start) == content_status::quarantined);
    CHECK(list.status({account_id("mill"), poison.digest}, start) == content_status::healthy);
    const monotonic_time later = start + quarantine_limits{}.lifetime;
    CHECK(list.status(poison, later) == content_status::healthy);
    CHECK(list.on_crash(poison, 3, later) == content_status::suspect);
    list.expire(later + quarantine_limits{}.lifetime);
    CHECK_FALSE(list.is_empty());
    list.expire(later + quarantine_limits{}.lifetime + quarantine_limits{}.tombstone_lifetime);
    CHECK(list.is_empty());
}

TEST_CASE("merging peer records combines crashes, is bounded and does not extend lifetimes")
{
    quarantine one({});
    quarantine two({});
    (void)one.on_crash(key_of("poison"), 1, start);
    (void)two.on_crash(key_of("poison"), 2, start);
    for (monotonic_time now = start; now < start + seconds{900}; now += seconds{10}) {
        one.merge(two.records(now, 100), now);
        two.merge(one.records(now, 100), now + seconds{1});
        CHECK((one.status(key_of("poison"), now) == content_status::quarantined) ==
              (now < start + seconds{600}));
    }
    CHECK(two.status(key_of("poison"), start + seconds{900}) == content_status::healthy);

    quarantine small({3, seconds{600}, seconds{60}});
    (void)small.on_crash(key_of("poison"), 1, start);
    (void)small.on_crash(key_of("poison"), 2, start);
    for (crash_id crash = 10; crash < 30; ++crash)
        (void)small.on_crash(key_of(std::to_string(crash)), crash, start + seconds{1});
    CHECK(small.size() == 3);
    CHECK(small.status(key_of("poison"), start + seconds{2}) == content_status::quarantined);
    const auto before = small.records(start, 10);
    small.merge({{{account_id("a"), "short"}, {1}, seconds{1}},
                 {key_of("x"), {}, seconds{1}},
                 {key_of("x"), {1, 2, 3}, seconds{1}},
                 {key_of("x"), {1}, seconds{-1}}},
                start);
    CHECK(small.records(start, 10) == before);
    CHECK(small.records(start, 1).size() == 1);
}

TEST_CASE("a suspect that is cleared in one process is cleared on its peers")
{
    // Guards against a peer that quarantines a harmless request because it still counts a crash that was
    // cleared elsewhere, and against a clearing record that removes the evidence of another crash.
    quarantine one({});
    quarantine two({});
    const auto innocent = key_of("innocent");
    (void)one.on_crash(innocent, 1, start);
    two.merge(one.records(start, 10), start);
    CHECK(two.status(innocent, start) == content_status::suspect);
    const auto cleared = one.on_finished(innocent, start);
    REQUIRE(cleared);
    CHECK_FALSE(one.on_finished(innocent, start));
    two.merge({*cleared}, start);
    CHECK(two.status(innocent, start) == content_status::healthy);
    CHECK(two.on_crash(innocent, 2, start) == content_status::suspect);

    quarantine late({});
    late.merge({*cleared}, start);
    late.merge({{innocent, {1}, seconds{60}}}, start + seconds{1});
    CHECK(late.status(innocent, start + seconds{1}) == content_status::healthy);

    quarantine other({});
    (void)other.on_crash(innocent, 2, start);
    other.merge({*cleared}, start);
    CHECK(other.status(innocent, start) == content_status::suspect);
    CHECK(other.on_crash(innocent, 1, start) == content_status::quarantined);
    other.merge({*cleared, {innocent, {1, 2}, milliseconds{0}}}, start);
    CHECK(other.status(innocent, start) == content_status::quarantined);
}

TEST_CASE("lock-free readers run concurrently with writers (for the thread sanitizer)")
{
    quarantine list({});
    fair_queue queue({1, 2});
    const auto mill = queue.set_account(account_id("mill"), 1);
    std::atomic<bool> stop{false};
    std::thread reader([&] {
        while (!stop) {
            (void)queue.is_over_limit(mill);
            if (!list.is_empty())
                (void)list.status(key_of("poison"), start);
        }
    });
    for (crash_id round = 0; round < 2000; ++round) {
        (void)queue.push({request_id(std::to_string(round)), mill, 1, start});
        (void)list.on_crash(key_of(std::to_string(round % 7)), round, start);
        list.expire(start + (round % 2 == 0 ? seconds{0} : seconds{900}));
        (void)queue.pop();
    }
    stop = true;
    reader.join();
    CHECK(list.is_empty());
}

TEST_CASE("suspects run alone, and duplicates of a suspect never run at the same time")
{
    const auto suspect = [](const char* name) {
        return key_of(name);
    };
    const auto endpoint = [](const char* name, std::uint32_t in_flight, bool reserved = false) {
        return isolation_endpoint{endpoint_id(name), in_flight, std::nullopt, reserved};
    };
    isolation_endpoint busy{endpoint_id("busy"), 1, suspect("s1"), true};
    struct isolation_case {
        std::string name;
        std::vector<content_key> waiting;
        std::vector<isolation_endpoint> endpoints;
        std::vector<std::string> runs, reserved;
    };
    const std::vector<isolation_case> cases{
        {"no suspects", {}, {endpoint("a", 0, true)}, {}, {}},
        {"an idle endpoint", {suspect("s1")}, {endpoint("a", 3), endpoint("b", 0)}, {"b"}, {"b"}},
        {"without an idle endpoint, the least loaded one drains",
         {suspect("s1")},
         {endpoint("a", 3), endpoint("b", 2)},
         {},
         {"b"}},
        {"a draining endpoint is kept",
         {suspect("s1")},
         {endpoint("a", 3, true), endpoint("b", 2)},
         {},
         {"a"}},
        {"a duplicate waits for the first",
         {suspect("s1")},
         {busy, endpoint("b", 0), endpoint("c", 0), endpoint("d", 0)},
         {},
         {"busy"}},
        {"two suspects, two endpoints",
         {suspect("s2"), suspect("s3")},
         {endpoint("a", 0), endpoint("b", 0), endpoint("c", 1), endpoint("d", 1)},
         {"a", "b"},
         {"a", "b"}},
        {"healthy requests keep their share of the endpoints",
         {suspect("s2"), suspect("s3"), suspect("s4")},
         {busy, endpoint("b", 0), endpoint("c", 0), endpoint("d", 0)},
         {"b"},
         {"b", "busy"}},
        {"no endpoints", {suspect("s1")}, {}, {}, {}},
    };
    for (const auto& [name, waiting, endpoints, runs, reserved] : cases) {
        INFO(name);
        const auto plan = plan_isolation(waiting, endpoints, {50});
        std::vector<std::string> run_endpoints;
        for (const auto& run : plan.runs)
            run_endpoints.push_back(run.endpoint.value());
        std::vector<std::string> reserved_endpoints;
        for (const auto& id : plan.reserved)
            reserved_endpoints.push_back(id.value());
        CHECK(run_endpoints == runs);
        CHECK(reserved_endpoints == reserved);
    }
}

} // namespace siskinwharf::admission
