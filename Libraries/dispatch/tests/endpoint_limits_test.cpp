#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/endpoint_constraints.h"

namespace siskinwharf::dispatch {

namespace {

constexpr monotonic_time start{seconds(1'000)};

endpoint_record make_endpoint(const std::string& id, const std::string& domain)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.domain = failure_domain_id(domain);
    record.started_ms = 1;
    return record;
}

std::vector<sending_process> make_processes(std::size_t domains, std::size_t in_each)
{
    std::vector<sending_process> result;
    for (std::size_t index = 0; index < domains * in_each; ++index)
        result.push_back({instance_id("entry-" + std::to_string(index)),
                          failure_domain_id("domain-" + std::to_string(index % domains))});
    return result;
}

/// Processes that all know of each other.
std::deque<endpoint_constraints> make_deployment(const std::vector<sending_process>& processes)
{
    std::deque<endpoint_constraints> result;
    for (const auto& process : processes) {
        auto peers = processes;
        std::erase(peers, process);
        result.emplace_back(process).set_processes(std::move(peers));
    }
    return result;
}

/// Sends whatever is allowed for some seconds and returns the largest number of requests within 4 s.
std::size_t busiest_window(std::deque<endpoint_constraints>& deployment, const endpoint_record& endpoint)
{
    std::vector<monotonic_time> sent;
    for (auto now = start; now < start + seconds(20); now += milliseconds(10)) {
        for (auto& process : deployment) {
            if (process.wait(endpoint, now).count() > 0)
                continue;
            process.on_sent(endpoint, now);
            sent.push_back(now);
        }
    }
    std::size_t most = 0;
    for (const auto from : sent)
        most = std::max<std::size_t>(
            most, std::ranges::count_if(sent, [&](auto at) { return at >= from && at < from + seconds(4); }));
    return most;
}

/// Most requests that a limit allows in 4 s: half more than the limit, and five.
double allowed(double per_second)
{
    return 1.5 * 4 * per_second + 5;
}

} // namespace

TEST_CASE("all processes together keep to the limit of an endpoint and use most of it")
{
    const double limit = GENERATE(0.5, 1.0, 2.2, 7.0, 40.0);
    const std::size_t in_each = GENERATE(1U, 3U, 12U, 33U);
    const auto endpoint = make_endpoint("i-1", "domain-1");
    auto deployment = make_deployment(make_processes(6, in_each));
    for (auto& process : deployment)
        process.observe_limit(endpoint, limit, start);
    const auto most = busiest_window(deployment, endpoint);
    CAPTURE(limit, in_each);
    CHECK(static_cast<double>(most) <= allowed(limit));
    // Whole requests, and the allowance of each process is counted from its last request.
    CHECK(static_cast<double>(most) >= 0.7 * 4 * limit - 1);
}

TEST_CASE("a limit holds while two processes of a failure domain do not know of each other")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    const auto processes = make_processes(3, 4);
    auto deployment = make_deployment(processes);
    auto others = processes;
    std::erase(others, processes[0]);
    std::erase(others, processes[3]);
    deployment[0].set_processes(others);
    deployment[3].set_processes(others);
    for (auto& process : deployment)
        process.observe_limit(endpoint, 2.0, start);
    CHECK(static_cast<double>(busiest_window(deployment, endpoint)) <= allowed(2.0));
}

TEST_CASE("an endpoint whose failure domain has no process is limited for all")
{
    const auto endpoint = make_endpoint("i-1", "elsewhere");
    auto deployment = make_deployment(make_processes(3, 4));
    for (auto& process : deployment)
        process.observe_limit(endpoint, 2.0, start);
    const auto most = busiest_window(deployment, endpoint);
    CHECK(static_cast<double>(most) <= allowed(2.0));
    CHECK(most >= 4);
}

TEST_CASE("processes that were told of a limit keep to it without a response of their own")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(1, 3));
    CHECK(deployment[0].observe_limit(endpoint, 1.0, start));
    CHECK_FALSE(deployment[0].observe_limit(endpoint, 1.0, start));
    const auto told = deployment[0].announcements(start + milliseconds(200));
    REQUIRE(told.size() == 1);
    CHECK(deployment[1].merge(endpoint, told[0], start + milliseconds(200)));
    CHECK_FALSE(deployment[1].merge(endpoint, told[0], start + milliseconds(300)));
    CHECK(deployment[1].wait(endpoint, start + milliseconds(300)).count() > 0);
    CHECK(deployment[2].wait(endpoint, start + milliseconds(300)).count() == 0);
}

TEST_CASE("a limit ends when a response names none, also at peers")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(1, 2));
    for (auto& process : deployment)
        process.observe_limit(endpoint, 0.5, start);
    const auto later = start + seconds(8);
    CHECK(deployment[0].observe_limit(endpoint, std::nullopt, later));
    CHECK(deployment[0].wait(endpoint, later).count() == 0);
    const auto told = deployment[0].announcements(later);
    REQUIRE(told.size() == 1);
    CHECK(deployment[1].merge(endpoint, told[0], later));
    CHECK(deployment[1].wait(endpoint, later).count() == 0);
    // What is older than the process's own response changes nothing.
    deployment[1].observe_limit(endpoint, 0.5, later + seconds(1));
    CHECK_FALSE(
        deployment[1].merge(endpoint, {endpoint.id, 1, std::nullopt, seconds(2)}, later + seconds(1)));
    CHECK(deployment[1].wait(endpoint, later + seconds(1)).count() > 0);
}

TEST_CASE("a limit that still stands is told again, so that processes without a share do not try it out")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(2, 1));
    for (auto& process : deployment)
        process.observe_limit(endpoint, 1.0, start);
    REQUIRE(deployment[1].wait(endpoint, start).count() > 0);
    for (int second = 1; second <= 200; ++second) {
        const auto now = start + seconds(second);
        deployment[0].observe_limit(endpoint, 1.0, now);
        for (const auto& told : deployment[0].announcements(now))
            deployment[1].merge(endpoint, told, now);
        CHECK(deployment[1].wait(endpoint, now).count() > 0);
    }
}

TEST_CASE("a limit that nobody confirms is tried out by one request")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(2, 1));
    deployment[1].observe_limit(endpoint, 1.0, start);
    const auto later = start + seconds(61);
    CHECK(deployment[1].wait(endpoint, later).count() == 0);
    deployment[1].on_sent(endpoint, later);
    CHECK(deployment[1].wait(endpoint, later).count() > 0);
}

TEST_CASE("the limit of an endpoint does not hold for its next start")
{
    auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(1, 2));
    deployment[0].observe_limit(endpoint, 0.5, start);
    const auto told = deployment[0].announcements(start);
    endpoint.started_ms = 2;
    CHECK(deployment[0].wait(endpoint, start).count() == 0);
    REQUIRE(told.size() == 1);
    CHECK_FALSE(deployment[1].merge(endpoint, told[0], start));
}

TEST_CASE("a limit of 0 leaves the requests that are needed to learn of its end")
{
    const auto endpoint = make_endpoint("i-1", "domain-0");
    auto deployment = make_deployment(make_processes(1, 3));
    for (auto& process : deployment)
        process.observe_limit(endpoint, 0.0, start);
    const auto most = busiest_window(deployment, endpoint);
    CHECK(most >= 1);
    CHECK(most <= 5);
}

} // namespace siskinwharf::dispatch
