#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/endpoint_activity.h"

namespace siskinwharf::dispatch {

namespace {

const endpoint_id endpoint("e");
const service_id service("s");
constexpr milliseconds long_time_left{8'000};

monotonic_time at(int time_ms)
{
    return monotonic_time{} + std::chrono::hours(1) + milliseconds(time_ms);
}

/// Delivers requests that were silent for so long, one after the other, before the time 0.
void deliver(endpoint_activity& activity, int count, milliseconds silence)
{
    for (int index = 0; index < count; ++index) {
        const auto number = activity.start(endpoint, service, milliseconds(40), at(0) - silence);
        activity.finish(number, true, at(0));
    }
}

} // namespace

TEST_CASE("a request is not given up while its endpoint serves others")
{
    endpoint_activity activity;
    const auto slow = activity.start(endpoint, service, milliseconds(40), at(0));
    for (int time = 100; time < 2'900; time += 200) {
        const auto other = activity.start(endpoint, service, milliseconds(40), at(time));
        activity.finish(other, true, at(time + 100));
        CHECK(activity.assess(slow, long_time_left, at(time + 100)) == silence_verdict::none);
    }
}

TEST_CASE("an endpoint that falls silent for 1.5 s is not given up by its only request")
{
    endpoint_activity activity;
    const auto number = activity.start(endpoint, service, milliseconds(40), at(0));
    CHECK(activity.assess(number, long_time_left, at(1'500)) == silence_verdict::none);
    activity.on_progress(number, at(1'500));
    CHECK(activity.assess(number, long_time_left, at(3'000)) == silence_verdict::none);
}

TEST_CASE("an endpoint that is silent towards several requests is given up after about a second")
{
    endpoint_activity activity;
    const auto first = activity.start(endpoint, service, milliseconds(40), at(0));
    const auto second = activity.start(endpoint, service, milliseconds(40), at(300));
    CHECK(activity.assess(first, long_time_left, at(1'000)) == silence_verdict::none);
    CHECK(activity.assess(first, long_time_left, at(1'200)) == silence_verdict::hung);
    CHECK(activity.assess(second, long_time_left, at(1'200)) == silence_verdict::none);
    CHECK(activity.assess(second, long_time_left, at(1'500)) == silence_verdict::hung);
}

TEST_CASE("an endpoint that was given up is doubted until it makes progress")
{
    endpoint_activity activity;
    const auto first = activity.start(endpoint, service, milliseconds(40), at(0));
    const auto second = activity.start(endpoint, service, milliseconds(40), at(300));
    CHECK(activity.assess(second, long_time_left, at(1'100)) == silence_verdict::none);
    activity.on_given_up(first, at(1'200));
    activity.finish(first, false, at(1'200));
    CHECK(activity.assess(second, long_time_left, at(1'200)) == silence_verdict::hung);
    activity.finish(second, false, at(1'200));
    const auto third = activity.start(endpoint, service, milliseconds(40), at(2'000));
    CHECK(activity.assess(third, long_time_left, at(2'400)) == silence_verdict::none);
    CHECK(activity.assess(third, long_time_left, at(2'500)) == silence_verdict::hung);
    activity.on_progress(third, at(2'500));
    CHECK(activity.assess(third, long_time_left, at(4'100)) == silence_verdict::none);
}

TEST_CASE("an endpoint that was given up is doubted for some time only")
{
    endpoint_activity activity;
    const auto first = activity.start(endpoint, service, milliseconds(40), at(0));
    activity.on_given_up(first, at(1'700));
    activity.finish(first, false, at(1'700));
    const auto next = activity.start(endpoint, service, milliseconds(40), at(9'000));
    CHECK(activity.assess(next, long_time_left, at(10'000)) == silence_verdict::none);
}

TEST_CASE("the silence of an endpoint counts against it from the time when a request is overdue")
{
    endpoint_activity activity;
    CHECK(activity.overdue_silence(endpoint, at(0)) == milliseconds(0));
    const auto number = activity.start(endpoint, service, milliseconds(40), at(0));
    CHECK(activity.overdue_silence(endpoint, at(400)) == milliseconds(0));
    CHECK(activity.overdue_silence(endpoint, at(600)) == milliseconds(600));
    const auto other = activity.start(endpoint, service, milliseconds(40), at(600));
    activity.finish(other, true, at(700));
    CHECK(activity.overdue_silence(endpoint, at(800)) == milliseconds(100));
    activity.finish(number, true, at(900));
    CHECK(activity.overdue_silence(endpoint, at(1'900)) == milliseconds(0));
}

TEST_CASE("progress of an ended request counts for the endpoint, and a recent request is no evidence")
{
    endpoint_activity activity;
    const auto first = activity.start(endpoint, service, milliseconds(40), at(0));
    const auto ended = activity.start(endpoint, service, milliseconds(40), at(0));
    activity.finish(ended, true, at(800));
    const auto recent = activity.start(endpoint, service, milliseconds(40), at(1'200));
    CHECK(activity.assess(first, long_time_left, at(1'600)) == silence_verdict::none);
    CHECK(activity.assess(recent, long_time_left, at(1'600)) == silence_verdict::none);
    CHECK(activity.assess(first, long_time_left, at(2'000)) == silence_verdict::hung);
}

TEST_CASE("the only request at a hung endpoint is given up after 1.7 s, a longer expected one later")
{
    endpoint_activity activity;
    const auto plain = activity.start(endpoint_id("a"), service, milliseconds(40), at(0));
    const auto prompt = activity.start(endpoint_id("b"), service, milliseconds(600), at(0));
    CHECK(activity.assess(plain, long_time_left, at(1'600)) == silence_verdict::none);
    CHECK(activity.assess(plain, long_time_left, at(1'700)) == silence_verdict::hung);
    CHECK(activity.assess(prompt, long_time_left, at(2'300)) == silence_verdict::none);
    CHECK(activity.assess(prompt, long_time_left, at(2'400)) == silence_verdict::hung);
}

TEST_CASE("the bound follows the silences that are usual for the service")
{
    endpoint_activity activity;
    deliver(activity, 100, milliseconds(1'500));
    CHECK(activity.usual_silence(service) == milliseconds(1'500));
    const auto number = activity.start(endpoint, service, milliseconds(40), at(0));
    CHECK(activity.assess(number, long_time_left, at(2'900)) == silence_verdict::none);
    CHECK(activity.assess(number, long_time_left, at(3'000)) == silence_verdict::hung);
}

TEST_CASE("one unusual silence does not move the bound, and few requests show nothing")
{
    endpoint_activity few;
    deliver(few, 19, milliseconds(1'500));
    CHECK(few.usual_silence(service) == milliseconds(0));
    endpoint_activity many;
    deliver(many, 1, milliseconds(9'000));
    deliver(many, 199, milliseconds(50));
    CHECK(many.usual_silence(service) == milliseconds(50));
}

TEST_CASE("a request that is overdue leaves while another endpoint has just enough time")
{
    endpoint_activity activity;
    const auto number = activity.start(endpoint, service, milliseconds(200), at(0));
    CHECK(activity.assess(number, milliseconds(300), at(700)) == silence_verdict::none);
    CHECK(activity.assess(number, milliseconds(500), at(900)) == silence_verdict::none);
    CHECK(activity.assess(number, milliseconds(400), at(900)) == silence_verdict::last_attempt);
}

TEST_CASE("a request that is silent for very long is lost although its endpoint serves others")
{
    endpoint_activity activity;
    const auto number = activity.start(endpoint, service, milliseconds(40), at(0));
    const auto other = activity.start(endpoint, service, milliseconds(40), at(0));
    activity.on_progress(other, at(2'900));
    CHECK(activity.assess(number, long_time_left, at(2'900)) == silence_verdict::none);
    CHECK(activity.assess(number, long_time_left, at(3'000)) == silence_verdict::lost);
}

} // namespace siskinwharf::dispatch
