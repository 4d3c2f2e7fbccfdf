#include <functional>

#include <catch2/catch.hpp>

#include "siskinwharf/membership/endpoint_directory.h"

namespace siskinwharf::membership {

using peer::endpoint_state;

TEST_CASE("a leaving or dead endpoint comes back only with a newer start time")
{
    const endpoint_id endpoint("m-3");
    using directory = endpoint_directory;
    using input = std::function<endpoint_changes(directory&)>;
    const auto list = [&](std::uint64_t started, bool leaving = false) -> input {
        return [=](directory& self) {
            return self.apply_instance_list({}, {{endpoint, started, leaving}});
        };
    };
    const input refusal = [&](directory& self) {
        return self.report_leaving({}, endpoint, endpoint_source::refusal, 50);
    };
    const input answer = [&](directory& self) {
        return self.probe_answered({}, endpoint);
    };
    const input failure = [&](directory& self) {
        return self.probe_failed({}, endpoint);
    };
    const auto notice = [&](endpoint_state state, std::uint64_t incarnation) -> input {
        return [=](directory& self) {
            return self.apply_notices({}, {{endpoint, state, incarnation}});
        };
    };
    const input gone = [](directory& self) {
        return self.apply_instance_list({}, {});
    };
    const auto live = endpoint_state::live;
    const auto leaving = endpoint_state::leaving;
    const auto dead = endpoint_state::dead;
    struct fault {
        std::string name;
        std::vector<input> inputs;
        endpoint_state state;
        std::size_t events;
        std::size_t announced;
    };
    const fault faults[] = {
        {"listed", {list(10)}, live, 1, 0},
        {"listed again", {list(10), list(10)}, live, 1, 0},
        {"leaving in the list", {list(10), list(10, true)}, leaving, 2, 1},
        {"stale list after a refusal", {list(10), refusal, list(10)}, leaving, 2, 1},
        {"second refusal", {list(10), refusal, refusal}, leaving, 2, 1},
        {"reclaim notice before the list shows the endpoint", {refusal, list(10)}, leaving, 1, 1},
        {"restart after leaving", {list(10), refusal, list(60)}, live, 3, 1},
        {"old start time after a restart", {list(60), list(10, true)}, live, 1, 0},
        {"leaving endpoint that answers", {list(10), refusal, answer}, leaving, 2, 1},
        {"peer's notice", {list(10), notice(leaving, 10), list(10)}, leaving, 2, 0},
        {"peer's notice about an earlier start", {list(60), notice(dead, 10)}, live, 1, 0},
        {"peer's notice before the list", {notice(dead, 10), list(10)}, dead, 1, 0},
        {"missing from the list", {list(10), gone}, live, 1, 0},
        {"two probes lost", {list(10), failure, failure, answer, failure}, live, 1, 0},
        {"three probes lost", {list(10), failure, failure, failure, list(10)}, dead, 2, 1},
        {"further probes lost", {list(10), failure, failure, failure, failure}, dead, 2, 1},
        {"dead endpoint that answers",
         {list(10), failure, failure, failure, answer, notice(dead, 10)},
         live,
         3,
         2},
        {"probe of an unknown endpoint", {answer, failure}, dead, 0, 0},
    };
    for (const auto& [name, inputs, state, events, announced] : faults) {
        CAPTURE(name);
        directory self;
        endpoint_changes all;
        for (const auto& apply : inputs) {
            const auto changes = apply(self);
            all.events.insert(all.events.end(), changes.events.begin(), changes.events.end());
            all.announce.insert(all.announce.end(), changes.announce.begin(), changes.announce.end());
        }
        CHECK(self.state_of(endpoint) == state);
        CHECK(all.events.size() == events);
        CHECK(all.announce.size() == announced);
        CHECK(self.departed().size() == (all.events.empty() || state == live ? 0U : 1U));
    }
}

TEST_CASE("a departed endpoint is forgotten only after the list has stopped to show it for long")
{
    endpoint_directory directory;
    const monotonic_time later = monotonic_time() + departed_endpoint_retention + seconds(1);
    (void)directory.report_leaving({}, endpoint_id("m-3"), endpoint_source::reclaim_notice, 50);
    (void)directory.apply_instance_list(later, {{endpoint_id("m-3"), 10, false}});
    CHECK(directory.endpoints(endpoint_state::leaving).size() == 1);
    (void)directory.apply_instance_list(later, {});
    CHECK(directory.departed().empty());
}

} // namespace siskinwharf::membership
