#include <catch2/catch.hpp>

#include "endpoint_versions.h"
#include "fake_engine.h"
#include "request_refused.h"
#include "request_version.h"
#include "runner_fixture.h"
#include "version_choice.h"

namespace siskinwharf::entry {

namespace {

peer::rollout_state state(std::uint64_t fencing, std::uint64_t sequence, const std::string& version,
                          std::optional<milliseconds> drained = {})
{
    return {fencing, sequence, {{endpoint_id("e1"), model_id("chat"), version, drained}}};
}

routing::endpoint_info corrected(const endpoint_versions& versions)
{
    routing::endpoint_info info;
    info.id = endpoint_id("e1");
    info.serves = routing::model_target{model_id("chat"), "1"};
    versions.correct(info);
    return info;
}

std::optional<std::string> choice(runner_fixture& test, const std::vector<std::string>& versions,
                                  const std::vector<endpoint_id>& excluded = {})
{
    const model_id model("chat");
    return choose_version(test.core.table, {model, versions, test.core.settings.failure_domain, excluded});
}

} // namespace

TEST_CASE("the version with the most free slots in the own failure domain serves a request", "[version]")
{
    // Guards against requests that all go to the few endpoints of one version during a rollout.
    runner_fixture test;
    CHECK_FALSE(choice(test, {"2", "1"}));
    test.add_endpoint("e1", 1, 4, 0, "1");
    test.add_endpoint("e2", 2, 4, 0, "1");
    CHECK(choice(test, {"2", "1"}) == "1");
    // After several changes in quick succession no endpoint may have a version of the last two sheets.
    CHECK(choice(test, {"3", "2"}) == "1");
    test.add_endpoint("e3", 3, 4, 0, "2");
    CHECK(choice(test, {"2", "1"}) == "1");
    CHECK(choice(test, {"2", "1"}, {endpoint_id("e1"), endpoint_id("e2")}) == "2");
    test.core.table.mark_leaving({endpoint_id("e1")});
    CHECK(choice(test, {"2", "1"}) == "2");
    CHECK(choice(test, {"3", "1"}) == "1");
}

TEST_CASE("a request that has not begun takes another version when its engine has lost the first",
          "[version]")
{
    // Guards against a refusal while an endpoint of the other version has room.
    runner_fixture test;
    fake_engine old_engine(test.context, [](int) {
        return http::response{404, {}, R"({"error":"model_not_loaded"})"};
    });
    fake_engine new_engine(test.context, [](int) { return fake_engine::whole_answer(); });
    test.add_endpoint("e1", old_engine.port(), 8, 0, "1");
    test.add_endpoint("e2", new_engine.port(), 4, 0, "2");
    const auto request = test.run(milliseconds(60'000), {"2", "1"});
    CHECK(request->current_phase() == live_request::phase::finished);
    CHECK(request->spec().version == "2");
    CHECK(old_engine.streams() == 1);
}

TEST_CASE("a request that has begun does not continue with another version", "[version]")
{
    // Guards against tokens of two versions in one answer.
    runner_fixture test;
    fake_engine old_engine(test.context, [](int) { return fake_engine::crash(); });
    fake_engine new_engine(test.context, [](int) { return fake_engine::whole_answer(); });
    test.add_endpoint("e1", old_engine.port(), 8, 0, "1");
    test.add_endpoint("e2", new_engine.port(), 4, 0, "2");
    const auto request = test.run(milliseconds(800), {"1", "2"});
    REQUIRE(request->failure());
    CHECK(request->failure()->result == outcome::unknown);
    CHECK(request->tokens() == std::vector<std::string>{"a"});
    CHECK(new_engine.streams() == 0);
}

TEST_CASE("a request whose version no endpoint has any more is refused as such after a while", "[version]")
{
    // Guards against a wait until the deadline, and against a refusal by a gap between two reports.
    runner_fixture test;
    request_spec spec;
    spec.model = model_id("chat");
    spec.version = "1";
    live_request request(test.context.get_executor(), std::move(spec));
    request.accept();
    request_version version(test.core, request);
    const monotonic_time time(seconds(100));
    version.refuse_if_gone(time);
    test.add_endpoint("e1", 1, 4, 0, "1");
    version.refuse_if_gone(time + seconds(11));
    test.core.table.publish({{}, {endpoint_id("e1")}, std::nullopt});
    version.refuse_if_gone(time + seconds(12));
    version.refuse_if_gone(time + seconds(21));
    std::optional<http::refusal> refusal;
    try {
        version.refuse_if_gone(time + seconds(22));
    } catch (const request_refused& refused) {
        refusal = refused.reason();
    }
    REQUIRE(refusal);
    CHECK(refusal->type == http::refusal_type::version_gone);
    CHECK(refusal->result == outcome::unknown);
}

TEST_CASE("a drain ends when its holder does not repeat it, and an older holder changes nothing", "[version]")
{
    // Guards against an endpoint that stays drained after the holder has died, and against late datagrams.
    endpoint_versions versions;
    const monotonic_time time(seconds(100));
    const auto begun = versions.apply(state(2, 1, "1", milliseconds(20'000)), time);
    CHECK(begun.drained.at(endpoint_id("e1")) == time + seconds(20));
    CHECK(corrected(versions).state == routing::endpoint_state::leaving);
    CHECK(versions.apply(state(2, 2, "1", milliseconds(16'000)), time + seconds(4)).drained.empty());
    CHECK(versions.expire(time + seconds(8)).restored.empty());
    CHECK(versions.expire(time + seconds(9)).restored.size() == 1);
    CHECK(corrected(versions).state == routing::endpoint_state::live);
    CHECK(versions.apply(state(1, 9, "0", milliseconds(20'000)), time + seconds(10)).changed.empty());
    CHECK(versions.apply(state(2, 2, "0"), time + seconds(10)).changed.empty());
    CHECK(versions.apply(state(3, 1, "2"), time + seconds(10)).changed.size() == 1);
    CHECK((corrected(versions).serves == routing::target(routing::model_target{model_id("chat"), "2"})));
}

} // namespace siskinwharf::entry
