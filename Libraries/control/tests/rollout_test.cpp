#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/control/rollout_planner.h"

namespace siskinwharf::control {

namespace {

constexpr milliseconds step_time{200};

endpoint_configuration configuration(const std::string& version, const std::string& model = "m")
{
    return {model_id(model), version, {}, "both"};
}

/// An engine that unloads its model when it accepts an order.
struct engine {
    endpoint_configuration configured = configuration("v1");
    monotonic_time loaded_at;
    std::uint32_t streams = 0;
    bool readable = true;

    [[nodiscard]] bool loaded(monotonic_time now) const
    {
        return !configured.model.empty() && loaded_at <= now;
    }
};

enum class order_outcome { loads, refuses, load_fails };

/// Simulates, in virtual time, a failure domain whose orders are sent as soon as the planner allows them.
class simulated_domain {
public:
    explicit simulated_domain(std::size_t count, const rollout_settings& settings)
        : m_settings(settings), planner(settings)
    {
        for (std::size_t index = 0; index < count; ++index)
            engines[endpoint_id("e-" + std::to_string(index))] = {};
    }

    /// Makes one plan and sends the orders that it allows.
    template<typename Outcome>
    void step(Outcome outcome_of_next)
    {
        time += step_time;
        std::vector<rollout_endpoint> seen;
        for (auto& [id, each] : engines) {
            rollout_endpoint endpoint;
            endpoint.endpoint = id;
            endpoint.wanted = wanted.contains(id) ? wanted.at(id) : configuration(version);
            endpoint.streams = each.streams;
            if (each.readable) {
                endpoint.present = each.configured;
                endpoint.present->loading = !each.configured.model.empty() && !each.loaded(time);
            }
            seen.push_back(std::move(endpoint));
        }
        plan = planner.plan(seen, time);
        stops += plan.stopped.size();
        for (const auto& endpoint : seen) {
            auto present = endpoint.present;
            if (present)
                present->loading = false;
            if (plan.endpoints.at(endpoint.endpoint).may_order && present && *present != endpoint.wanted)
                execute(endpoint, outcome_of_next());
        }
    }

    void run(nanoseconds duration, order_outcome outcome = order_outcome::loads)
    {
        for (const auto end = time + duration; time < end;)
            step([outcome] { return outcome; });
    }

    [[nodiscard]] std::size_t serving() const
    {
        std::size_t result = 0;
        for (const auto& [id, each] : engines) {
            if (each.loaded(time) && !plan.endpoints.at(id).drained)
                ++result;
        }
        return result;
    }

    [[nodiscard]] std::size_t count_of(const std::string& wanted_version) const
    {
        std::size_t result = 0;
        for (const auto& [id, each] : engines) {
            if (each.loaded(time) && each.configured.version == wanted_version)
                ++result;
        }
        return result;
    }

    /// Another process becomes the holder of the lease and starts without any state.
    void change_holder() { planner = rollout_planner(m_settings); }

private:
    const rollout_settings m_settings;

    void execute(const rollout_endpoint& endpoint, order_outcome outcome)
    {
        auto& target = engines.at(endpoint.endpoint);
        ordered.push_back(endpoint.endpoint);
        if (outcome == order_outcome::refuses) {
            planner.order_refused(endpoint.endpoint, time);
            return;
        }
        target.configured = outcome == order_outcome::load_fails ? endpoint_configuration{} : endpoint.wanted;
        target.loaded_at = time + load_time;
        target.streams = 0;
        if (outcome == order_outcome::load_fails)
            planner.order_refused(endpoint.endpoint, time);
    }

public:
    rollout_planner planner;
    std::map<endpoint_id, engine> engines;
    std::string version = "v2";
    std::map<endpoint_id, endpoint_configuration>
        wanted; ///< Endpoints that are not to get `version` of the model m.
    monotonic_time time{seconds(1'000)};
    nanoseconds load_time = seconds(3);
    rollout_plan plan;
    std::vector<endpoint_id> ordered;
    std::size_t stops = 0;
};

} // namespace

TEST_CASE(
    "with random faults the allowed share serves at every moment, and the rollout ends after the faults")
{
    // Guards against a rollout that takes too many endpoints out of service, and against one that never
    // resumes after a fault.
    const bool holds = rc::check([] {
        rollout_settings settings;
        settings.ignore_unavailable_after = seconds(100'000);
        const auto count = *rc::gen::inRange<std::size_t>(2, 13);
        const std::size_t max_unavailable = std::max<std::size_t>(1, count * settings.percent_at_once / 100);
        simulated_domain sut(count, settings);
        const auto chance = [](int percent) {
            return *rc::gen::inRange(0, 100) < percent;
        };
        const int fault_percent = *rc::gen::inRange(0, 60);
        for (int index = 0; index < 1'000; ++index) {
            if (index % 10 == 0) {
                for (auto& [id, each] : sut.engines) {
                    each.readable = !chance(fault_percent / 6);
                    each.streams = chance(50) ? 3 : 0;
                }
                sut.load_time = seconds(*rc::gen::inRange(1, 30));
                if (chance(fault_percent / 6))
                    sut.change_holder();
                if (chance(fault_percent / 20))
                    sut.version = sut.version == "v2" ? "v3" : "v2";
                if (chance(fault_percent / 10))
                    sut.time += seconds(4);
            }
            sut.step([&] {
                if (!chance(fault_percent))
                    return order_outcome::loads;
                return chance(50) ? order_outcome::refuses : order_outcome::load_fails;
            });
            RC_ASSERT(sut.serving() + max_unavailable >= count);
        }
        for (auto& [id, each] : sut.engines) {
            each.readable = true;
            each.streams = 0;
        }
        for (int index = 0; index < 20'000 && sut.count_of(sut.version) < count; ++index) {
            sut.step([] { return order_outcome::loads; });
            RC_ASSERT(sut.serving() + max_unavailable >= count);
        }
        RC_ASSERT(sut.count_of(sut.version) == count);
    });
    CHECK(holds);
}

TEST_CASE("a version that does not load stays on one endpoint, is reported once and tried again later")
{
    struct row {
        const char* name = "";
        order_outcome outcome = order_outcome::refuses;
        std::size_t serving = 0;
    };
    for (const auto& [name, outcome, serving] : {row{"refused orders", order_outcome::refuses, 4},
                                                 row{"loads that fail", order_outcome::load_fails, 3}}) {
        INFO(name);
        simulated_domain sut(4, rollout_settings{});
        sut.run(seconds(250), outcome);
        CHECK(sut.stops == 1);
        CHECK(sut.ordered.size() == 3);
        CHECK(sut.serving() == serving);
        CHECK(sut.count_of("v1") == serving);
        sut.run(seconds(1'200), order_outcome::loads);
        CHECK(sut.count_of("v2") == 4);
    }
}

TEST_CASE("an endpoint is ordered only after its streams have ended or cannot last any longer")
{
    // Guards against orders that interrupt running streams.
    rollout_settings settings;
    simulated_domain sut(2, settings);
    for (auto& [id, each] : sut.engines)
        each.streams = 1;
    sut.run(seconds(1));
    std::size_t drained = 0;
    for (const auto& [id, decision] : sut.plan.endpoints) {
        if (!decision.drained)
            continue;
        ++drained;
        CHECK(decision.drain_deadline - sut.time <= settings.move_streams_after);
    }
    CHECK(drained == 1);
    sut.run(seconds(598));
    CHECK(sut.ordered.empty());
    sut.run(seconds(2));
    CHECK(sut.ordered.size() == 1);
}

TEST_CASE("streams of the last endpoint of a version have time to finish there")
{
    simulated_domain sut(2, rollout_settings{});
    sut.engines.begin()->second.configured = configuration("v2");
    sut.run(seconds(1));
    const auto& decision = sut.plan.endpoints.rbegin()->second;
    CHECK(decision.drained);
    CHECK(decision.drain_deadline - sut.time > seconds(590));
}

TEST_CASE("a drain that was not repeated starts again before the order")
{
    // Otherwise a holder that was paused sends an order to an endpoint that entry processes use again.
    simulated_domain sut(2, rollout_settings{});
    sut.run(milliseconds(2'800));
    sut.time += seconds(8);
    sut.run(milliseconds(2'800));
    CHECK(sut.ordered.empty());
    sut.run(seconds(1));
    CHECK(sut.ordered.size() == 1);
}

TEST_CASE("the last endpoint of a model waits until another one has loaded that model")
{
    // Guards against a swap of models between two endpoints that takes both out of service.
    simulated_domain sut(2, rollout_settings{});
    const endpoint_id first("e-0");
    const endpoint_id second("e-1");
    sut.engines.at(second).configured = {};
    sut.wanted[first] = configuration("v1", "other");
    sut.wanted[second] = configuration("v1");
    for (int index = 0; index < 100; ++index) {
        sut.step([] { return order_outcome::loads; });
        CHECK(sut.serving() >= 1);
    }
    CHECK(sut.ordered == std::vector{second, first});
}

TEST_CASE("engines without a model try a version that no engine has loaded one at a time")
{
    // Guards against a version that fails to load being rolled out to all engines without a model at once.
    simulated_domain sut(4, rollout_settings{});
    for (auto& [id, each] : sut.engines)
        each.configured = {};
    sut.step([] { return order_outcome::loads; });
    CHECK(sut.ordered.size() == 1);
    sut.run(seconds(60));
    CHECK(sut.count_of("v2") == 4);
}

TEST_CASE("adapters are ordered at once and without a drain")
{
    // Engines keep serving while an adapter loads.
    simulated_domain sut(3, rollout_settings{});
    for (auto& [id, each] : sut.engines) {
        sut.wanted[id] = configuration("v1");
        sut.wanted[id].adapters = {"a"};
    }
    sut.step([] { return order_outcome::loads; });
    CHECK(sut.ordered.size() == 3);
    sut.step([] { return order_outcome::loads; });
    for (const auto& [id, decision] : sut.plan.endpoints)
        CHECK_FALSE(decision.drained);
}

TEST_CASE("loads stay within the rate limit of the weight store")
{
    rollout_settings settings;
    settings.percent_at_once = 100;
    settings.loads_per_minute = 6;
    simulated_domain sut(40, settings);
    sut.load_time = milliseconds(200);
    for (int minute = 1; minute <= 5; ++minute) {
        sut.run(seconds(60));
        CHECK(sut.ordered.size() <= static_cast<std::size_t>(6 * minute) + 4);
    }
    CHECK(sut.ordered.size() >= 30);
}

} // namespace siskinwharf::control
