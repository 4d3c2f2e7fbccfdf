#include <catch2/catch.hpp>

#include "cloud_service.h"
#include "instance_registry.h"
#include "json.h"
#include "rate_limiter.h"
#include "table_service.h"

namespace siskinwharf::standins {

namespace {

constexpr monotonic_time start_time{seconds(1000)};

std::size_t listed(const instance_registry& registry, monotonic_time shown)
{
    return registry.list(shown, shown).at("instances").as_array().size();
}

} // namespace

TEST_CASE("the rate limit holds over time and allows a short burst")
{
    rate_limiter limiter(10);
    CHECK(limiter.take(start_time));
    CHECK(limiter.take(start_time));
    CHECK_FALSE(limiter.take(start_time));
    int taken = 0;
    for (int tick = 1; tick <= 1000; ++tick)
        taken += limiter.take(start_time + milliseconds(10 * tick)) ? 1 : 0;
    CHECK(taken >= 99);
    CHECK(taken <= 101);
    rate_limiter unlimited(0);
    for (int index = 0; index < 100; ++index)
        CHECK(unlimited.take(start_time));
}

TEST_CASE("a condition that does not hold keeps the whole transaction from taking effect")
{
    struct commit_case {
        const char* name;
        const char* writes;
        std::vector<std::size_t> conflicts;
        std::uint64_t version_of_a;
        bool new_row;
    };
    const auto example = GENERATE(
        commit_case{"update", R"([{"key":"a","value":"2","require_version":2}])", {}, 3, false},
        commit_case{"old version", R"([{"key":"a","value":"2","require_version":1}])", {0}, 2, false},
        commit_case{"newer version", R"([{"key":"a","value":"2","require_version":3}])", {0}, 2, false},
        commit_case{"insert over a row", R"([{"key":"a","value":"2","require_absent":true}])", {0}, 2, false},
        commit_case{"delete", R"([{"key":"a","require_version":2}])", {}, 0, false},
        commit_case{"insert", R"([{"key":"new","value":"1","require_absent":true}])", {}, 2, true},
        commit_case{"one of two fails",
                    R"([{"key":"new","value":"1","require_absent":true},{"key":"a","require_version":9}])",
                    {1},
                    2,
                    false},
        commit_case{"update of no row", R"([{"key":"new","value":"1","require_version":1}])", {0}, 2, false});
    CAPTURE(example.name);
    table_service table;
    table.commit({{"a", "0", std::nullopt}});
    table.commit({{"a", "1", 1}});
    const auto body = parse_object(std::string(R"({"writes":)") + example.writes + "}");
    std::vector<std::size_t> conflicts;
    for (const table_conflict& conflict : table.commit(parse_transaction(body)))
        conflicts.push_back(conflict.write_index);
    CHECK(conflicts == example.conflicts);
    const auto row = table.read("a");
    CHECK((row ? row->version : 0) == example.version_of_a);
    CHECK(table.read("new").has_value() == example.new_row);
}

TEST_CASE("a malformed transaction is refused and not guessed at")
{
    const auto* writes = GENERATE(R"([])", R"([{"key":"a","value":"1"}])",
                                  R"([{"key":"a","require_absent":true,"require_version":1}])",
                                  R"([{"value":"1","require_absent":true}])", R"([{"key":"a",
        "require_absent":true},{"key":"a","require_absent":true}])",
                                  R"([{"key":"a","value":1,"require_absent":true}])", R"(["a"])");
    CAPTURE(writes);
    const auto body = parse_object(std::string(R"({"writes":)") + writes + "}");
    CHECK_THROWS_AS(parse_transaction(body), bad_request);
}

TEST_CASE("the instance list of an earlier time lacks what came later")
{
    instance_registry registry;
    registry.put("i", parse_object(R"({"kind":"engine","port":1,"failure_domain":"d"})"), start_time);
    CHECK(registry.leave("i", seconds(5), start_time + seconds(1)));
    CHECK_FALSE(registry.leave("unknown", seconds(5), start_time));
    registry.put("j", parse_object(R"({"kind":"entry","port":1})"), start_time + seconds(2));
    CHECK(registry.remove("j", start_time + seconds(3)));
    CHECK(listed(registry, start_time - seconds(1)) == 0);
    CHECK(listed(registry, start_time) == 1);
    CHECK(listed(registry, start_time + seconds(2)) == 2);
    CHECK(listed(registry, start_time + seconds(3)) == 1);
    const auto list = registry.list(start_time + seconds(3), start_time + seconds(4));
    CHECK(list.at("instances").at(0).at("state") == "leaving");
    CHECK(list.at("instances").at(0).at("leaves_in_ms") == 2000);
    CHECK(listed(registry, start_time + seconds(6)) == 0);
    registry.prune(start_time + seconds(2));
    CHECK(listed(registry, start_time + seconds(2)) == 2);
    registry.prune(start_time + seconds(6));
    CHECK(registry.failure_domain_of("i", start_time + seconds(2)).empty());
}

TEST_CASE("a start that is repeated with the same token starts no second instance")
{
    platform_options options;
    options.start_ms = 100;
    cloud_service cloud(options);
    const auto wanted = parse_object(
        R"({"class":"small","failure_domain":"domain-1","kind":"reclaimable","client_token":"t"})");
    CHECK_FALSE(cloud.start(wanted, true, start_time));
    const auto first = cloud.start(wanted, false, start_time);
    // The answer is the same even when new instances are refused by then.
    const auto second = cloud.start(wanted, true, start_time + milliseconds(100));
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->at("id") == second->at("id"));
    CHECK(first->at("state") == "starting");
    CHECK(second->at("state") == "running");
}

TEST_CASE("an offer that is used up is available again after a stop, and time is billed up to the stop")
{
    cloud_service cloud(platform_options{});
    cloud.replace_offers(
        parse_object(R"({"offers":[{"class":"c","failure_domain":"d","kind":"on_demand","available":1}]})"));
    const auto start = [&cloud](const std::string& token) {
        const std::string body =
            R"({"class":"c","failure_domain":"d","kind":"on_demand","client_token":")" + token + R"("})";
        return cloud.start(parse_object(body), false, start_time);
    };
    const auto first = start("a");
    REQUIRE(first);
    CHECK_FALSE(start("b"));
    CHECK(cloud.stop(std::string(first->at("id").as_string()), start_time + seconds(10)));
    CHECK(start("b"));
    const auto instances = cloud.describe_instances(start_time + seconds(20)).at("instances").as_array();
    CHECK(instances.at(0).at("billed_ms") == 7000);
    CHECK(instances.at(1).at("billed_ms") == 17'000);
    cloud.refuse_domains({"d"});
    CHECK_FALSE(start("c"));
}

TEST_CASE("a reclaim of a failure domain announces and ends its reclaimable instances only")
{
    cloud_service cloud(platform_options{});
    for (const char* kind : {"reclaimable", "on_demand"}) {
        const std::string body = std::string(R"({"class":"small","failure_domain":"domain-1","kind":")") +
                                 kind + R"(","client_token":")" + kind + R"("})";
        REQUIRE(cloud.start(parse_object(body), false, start_time));
    }
    const auto ids = cloud.reclaimable_in("domain-1", start_time);
    REQUIRE(ids.size() == 1);
    CHECK(cloud.reclaimable_in("domain-2", start_time).empty());
    cloud.reclaim(ids[0], "", seconds(30), start_time);
    const auto notices = cloud.describe_notices(0, start_time + seconds(10));
    CHECK(notices.at("notices").at(0).at("leaves_in_ms") == 20'000);
    CHECK(notices.at("notices").at(0).at("failure_domain") == "domain-1");
    CHECK(cloud.describe_notices(1, start_time).at("notices").as_array().empty());
    const auto after = cloud.describe_instances(start_time + seconds(30)).at("instances").as_array();
    CHECK(after.at(0).at("state") == "reclaimed");
    CHECK(after.at(1).at("state") == "running");
}

} // namespace siskinwharf::standins
