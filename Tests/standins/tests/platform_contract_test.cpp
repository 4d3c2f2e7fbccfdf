#include <catch2/catch.hpp>

#include "json.h"
#include "plain_service.h"
#include "platform_service.h"
#include "running_standin.h"
#include "test_client.h"

namespace siskinwharf::standins {

namespace {

struct running_platform : running_standin<platform_service> {
    explicit running_platform(const platform_options& options)
        : running_standin<platform_service>(
              [&options](boost::asio::io_context& context, const process_actions&) {
                  return std::make_unique<platform_service>(context, options);
              })
    {
    }
};

struct running_service : running_standin<plain_service> {
    running_service()
        : running_standin<plain_service>([](boost::asio::io_context& context, process_actions actions) {
              return std::make_unique<plain_service>(context, service_options{}, std::move(actions),
                                                     [](const std::string&, const std::string&) {});
          })
    {
    }
};

platform_options fast_options()
{
    platform_options options;
    options.table_ms = 0;
    options.list_lag_ms = 0;
    options.writes_per_second = 0;
    options.reads_per_second = 0;
    return options;
}

constexpr const char* insert = R"({"writes":[{"key":"k","value":"v","require_absent":true}]})";

} // namespace

TEST_CASE("the table answers commits and reads")
{
    const running_platform platform(fast_options());
    test_client client(platform.port());
    CHECK(client.request("GET", "/table/row?key=k").status == 404);
    CHECK(client.request("POST", "/table/commit", insert).body == R"({"committed":true})");
    const test_answer conflict = client.request("POST", "/table/commit", insert);
    CHECK(conflict.status == 409);
    CHECK(conflict.body == R"({"conflicts":[{"index":0,"row":{"key":"k","value":"v","version":1}}]})");
    CHECK(client.request("GET", "/table/row?key=%6b").body == R"({"key":"k","value":"v","version":1})");
}

TEST_CASE(
    "the instance list is sent again only after a change, so that conditional readers are tested for real")
{
    const char* engine = R"({"kind":"engine","port":9})";
    const running_platform platform(fast_options());
    test_client client(platform.port());
    client.request("PUT", "/instances/a", engine);
    const test_answer first = client.request("GET", "/instances");
    REQUIRE(first.status == 200);
    REQUIRE_FALSE(first.entity_tag.empty());

    client.set_header("If-None-Match", first.entity_tag);
    const test_answer unchanged = client.request("GET", "/instances");
    CHECK(unchanged.status == 304);
    CHECK(unchanged.body.empty());
    client.request("POST", "/instances/a/leave", R"({"in_ms":60000})");
    const test_answer leaving = client.request("GET", "/instances");
    CHECK(leaving.status == 200);
    CHECK(leaving.entity_tag != first.entity_tag);
    CHECK(leaving.json().at("instances").at(0).at("state") == "leaving");

    platform_options without_tags = fast_options();
    without_tags.entity_tags = 0;
    const running_platform plain(without_tags);
    test_client plain_client(plain.port());
    plain_client.set_header("If-None-Match", "\"\"");
    const test_answer whole = plain_client.request("GET", "/instances");
    CHECK(whole.status == 200);
    CHECK(whole.entity_tag.empty());
}

TEST_CASE("a table fault shows as a refused, lost or late write")
{
    struct fault_case {
        const char* fault;
        unsigned status;  ///< Of the commit; 0 if the connection closes without an answer.
        bool applied_now; ///< Whether the row is there when the fault is over.
    };
    const auto example = GENERATE(
        fault_case{R"({"table":"down"})", 0, false}, fault_case{R"({"table":"slow","slow_ms":1})", 200, true},
        fault_case{R"({"lose_answers":1})", 0, true}, fault_case{R"({"late_ms":3600000})", 0, false},
        fault_case{R"({"reject_sources":["entry-1"]})", 0, false},
        fault_case{R"({"reject_sources":["entry-2"]})", 200, true});
    CAPTURE(example.fault);
    const running_platform platform(fast_options());
    test_client operator_client(platform.port());
    REQUIRE(operator_client.request("POST", "/faults", example.fault).status == 200);
    test_client client(platform.port());
    client.set_header("Siskinwharf-Instance", "entry-1");
    CHECK(client.request("POST", "/table/commit", insert).status == example.status);
    operator_client.request("POST", "/faults", R"({"table":"up","reject_sources":[]})");
    const bool applied = client.request("GET", "/table/row?key=k").status == 200;
    CHECK(applied == example.applied_now);
}

TEST_CASE("a write whose answer was lost takes effect later")
{
    const running_platform platform(fast_options());
    test_client client(platform.port());
    client.request("POST", "/faults", R"({"late_ms":1})");
    CHECK(client.request("POST", "/table/commit", insert).status == 0);
    CHECK(eventually([&client] { return client.request("GET", "/table/row?key=k").status == 200; }));
    // Only one answer was to be lost.
    CHECK(client.request("POST", "/table/commit", insert).status == 409);
}

TEST_CASE("a part of the platform that hangs gives no answer until the fault ends")
{
    const running_platform platform(fast_options());
    test_client operator_client(platform.port());
    operator_client.request("POST", "/faults", R"({"table":"hang"})");
    unsigned status = 1;
    std::thread waiting([&platform, &status] {
        status = test_client(platform.port()).request("POST", "/table/commit", insert).status;
    });
    CHECK(eventually([&operator_client] {
        return integer_member(operator_client.request("GET", "/stats").json(), "table_hanging") == 1;
    }));
    operator_client.request("POST", "/faults", R"({"table":"up"})");
    waiting.join();
    CHECK(status == 0);
    CHECK(operator_client.request("GET", "/table/row?key=k").status == 404);
}

TEST_CASE("operations above the rate limit are refused and take no effect")
{
    platform_options options = fast_options();
    options.writes_per_second = 0.001;
    options.reads_per_second = 0.001;
    options.weights_per_minute = 0.001;
    const running_platform platform(options);
    test_client client(platform.port());
    CHECK(client.request("PUT", "/objects/a/b", "first").status == 200);
    CHECK(client.request("POST", "/table/commit", insert).status == 429);
    CHECK(client.request("GET", "/objects/a/b").body == "first");
    CHECK(client.request("GET", "/table/row?key=k").status == 429);
    CHECK(client.request("GET", "/weights/m/1").status == 200);
    CHECK(client.request("GET", "/weights/m/1").status == 429);
}

TEST_CASE("a stale instance list shows nothing that came after the fault")
{
    const running_platform platform(fast_options());
    test_client client(platform.port());
    const char* engine = R"({"kind":"engine","port":9,"failure_domain":"d","reclaimable":true})";
    CHECK(client.request("PUT", "/instances/a", engine).status == 200);
    client.request("POST", "/faults", R"({"instances":"stale"})");
    client.request("PUT", "/instances/b", engine);
    CHECK(client.request("GET", "/instances").json().at("instances").as_array().size() == 1);
    client.request("POST", "/faults", R"({"instances":"up"})");
    CHECK(client.request("GET", "/instances").json().at("instances").as_array().size() == 2);
    CHECK(client.request("PUT", "/instances/c", R"({"kind":"other","port":9})").status == 400);
}

TEST_CASE("a reclaim reaches instances of the list and of the cloud API")
{
    const running_platform platform(fast_options());
    test_client client(platform.port());
    client.request("PUT", "/instances/a",
                   R"({"kind":"engine","port":9,"failure_domain":"domain-1","reclaimable":true})");
    client.request("PUT", "/instances/b", R"({"kind":"entry","port":9,"failure_domain":"domain-1"})");
    const char* wanted =
        R"({"class":"large","failure_domain":"domain-1","kind":"reclaimable","client_token":"t"})";
    const test_answer started = client.request("POST", "/cloud/instances", wanted);
    CHECK(started.json().at("state") == "starting");
    const char* reclaim = R"({"failure_domain":"domain-1","in_ms":60000})";
    CHECK(client.request("POST", "/cloud/reclaim", reclaim).json().at("reclaimed") == 2);
    CHECK(client.request("GET", "/cloud/notices?after=1").json().at("notices").as_array().size() == 1);
    CHECK(client.request("GET", "/instances").json().at("instances").at(0).at("state") == "leaving");
    CHECK(client.request("GET", "/instances").json().at("instances").at(1).at("state") == "live");
    client.request("POST", "/faults", R"({"cloud":"refuse"})");
    const char* replacement =
        R"({"class":"large","failure_domain":"domain-1","kind":"reclaimable","client_token":"u"})";
    const test_answer refused = client.request("POST", "/cloud/instances", replacement);
    CHECK(refused.status == 503);
    CHECK(refused.body == R"({"error":"no_capacity"})");
}

TEST_CASE("a service fault shows in the answer and in the count of executions")
{
    struct fault_case {
        const char* fault;
        unsigned status;
        std::uint64_t executions;
        bool crashed;
    };
    const auto example =
        GENERATE(fault_case{"{}", 200, 1, false}, fault_case{R"({"delay_ms":1})", 200, 1, false},
                 fault_case{R"({"close_after_executing":1})", 0, 1, false},
                 fault_case{R"({"close_before_executing":1})", 0, 0, false},
                 fault_case{R"({"crash_on":"rye"})", 200, 1, true},
                 fault_case{R"({"leave_in_ms":3600000})", 409, 0, false});
    CAPTURE(example.fault);
    const running_service service;
    test_client client(service.port());
    client.set_header("Idempotency-Key", "key-1");
    REQUIRE(client.request("POST", "/faults", example.fault).status == 200);
    CHECK(client.request("POST", "/orders", "rye").status == example.status);
    CHECK(service.crashed() == example.crashed);
    const auto executions = client.request("GET", "/executions").json();
    CHECK(integer_member(executions, "total") == static_cast<std::int64_t>(example.executions));
    CHECK(integer_member(object_member(executions, "by_key"), "key-1") ==
          static_cast<std::int64_t>(example.executions));
}

TEST_CASE("a repeated call is executed again, so that a broken at-most-once guarantee is seen")
{
    const running_service service;
    test_client client(service.port());
    client.set_header("Idempotency-Key", "key-1");
    client.request("POST", "/swaps", "one for two");
    client.request("POST", "/swaps", "one for two");
    client.request("GET", "/stock");
    const auto executions = client.request("GET", "/executions").json();
    CHECK(executions.at("by_key").at("key-1") == 2);
    CHECK(executions.at("by_body").at("one for two") == 2);
    CHECK(executions.at("total") == 2);
}

} // namespace siskinwharf::standins
