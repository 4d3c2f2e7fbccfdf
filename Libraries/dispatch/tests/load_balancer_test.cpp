#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/load_balancer.h"

namespace siskinwharf::dispatch {

namespace {

constexpr milliseconds target{1'000};

deployment::service model_service()
{
    deployment::service result;
    result.id = service_id("plans");
    result.engine = deployment::engine_profile{48, 700'000, 5};
    return result;
}

endpoint_record endpoint(const std::string& id, const std::string& region)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = service_id("plans");
    record.domain = failure_domain_id(region + "-a");
    record.region = region_id(region);
    record.slots = 48;
    return record;
}

load_balancer make_board()
{
    load_balancer_settings settings;
    settings.domain = failure_domain_id("kingston-a");
    settings.region = region_id("kingston");
    load_balancer board(settings);
    board.set_endpoints({endpoint("k1", "kingston"), endpoint("k2", "kingston"), endpoint("m1", "montego")});
    return board;
}

/// A request about `subject`; its last part is its own.
workload plan(std::uint64_t subject, std::uint64_t own = 7)
{
    return {12'000, 400, {{1, 500}, {subject, 5'000}, {1'000'000 + own, 6'500}}, 0};
}

endpoint_id placed(const placement_decision& decision)
{
    const auto* chosen = std::get_if<placement>(&decision);
    return chosen == nullptr ? endpoint_id() : chosen->endpoint.id;
}

} // namespace

TEST_CASE("requests about one subject go to the engine that has read it")
{
    auto board = make_board();
    const monotonic_time now{};
    const auto first = placed(board.place(model_service(), plan(5), {}, target, now));
    auto ticket = board.start(model_service(), first, plan(5), now);
    board.first_event(ticket, now + milliseconds(200));
    board.finish(ticket, attempt_result::answered, now + seconds(2));
    CHECK(placed(board.place(model_service(), plan(5), {}, target, now + seconds(3))) == first);
}

TEST_CASE("long prompts that two processes place at the same moment go to different engines")
{
    // Guards against a choice by the state of 250 ms ago: both processes take the engine that was idle then.
    auto first = make_board();
    auto second = make_board();
    int updates = 0;
    first.on_changed_load([&] { ++updates; });
    const monotonic_time now{};
    const workload prompt{12'000, 400, {{1, 12'000}}, 0};
    const auto chosen = placed(first.place(model_service(), prompt, {}, target, now));
    REQUIRE(placed(second.place(model_service(), prompt, {}, target, now)) == chosen);
    auto ticket = first.start(model_service(), chosen, prompt, now);
    REQUIRE(updates == 1);
    const auto told = first.take_changed_loads();
    REQUIRE(told == std::vector<endpoint_load>{{chosen, 1, 12'000}});
    second.change_peer_loads({}, told);
    CHECK(placed(second.place(model_service(), prompt, {}, target, now)) != chosen);
    first.first_event(ticket, now + milliseconds(200));
    CHECK(updates == 2);
    const auto read = first.take_changed_loads();
    REQUIRE(read == std::vector<endpoint_load>{{chosen, 1, 0}});
    second.change_peer_loads(told, read);
    CHECK(second.find(chosen)->peers_waiting_tokens == 0);
    CHECK(second.find(chosen)->peers_running == 1);
}

TEST_CASE("a process that was paused does not refuse requests for ever by the times that it measured")
{
    // Guards against estimates that no new sample corrects, because each request is refused by them.
    auto service = model_service();
    service.engine.reset();
    const workload read{0, 0, {}, 1};
    auto board = make_board();
    const monotonic_time now{};
    constexpr int before_pause = 40;
    std::vector<attempt_ticket> tickets;
    tickets.reserve(before_pause);
    for (int request = 0; request < before_pause; ++request)
        tickets.push_back(board.start(service, endpoint_id("k1"), read, now));
    for (auto& ticket : tickets)
        board.finish(ticket, attempt_result::answered, now + seconds(8));
    // Peers have requests at all endpoints all the time.
    board.set_peer_loads({{endpoint_id("k1"), 3, 0}, {endpoint_id("k2"), 3, 0}, {endpoint_id("m1"), 3, 0}});
    std::vector<attempt_ticket> running;
    for (int request = 0; request < 200; ++request) {
        const auto id = placed(board.place(service, read, {}, target, now + seconds(9)));
        // A sample in ten of 40 ms each corrects an average of 8 s within less than 100 requests.
        if (id.empty()) {
            CHECK(request < 100);
        } else {
            running.push_back(board.start(service, id, read, now + seconds(9)));
        }
        if (running.size() == 4 || id.empty()) {
            for (auto& ticket : running)
                board.finish(ticket, attempt_result::answered, now + seconds(9) + milliseconds(40));
            running.clear();
        }
    }
}

TEST_CASE("a hot subject spreads over engines and regions and is refused when all are full")
{
    auto board = make_board();
    const monotonic_time now{};
    std::map<endpoint_id, int> counts;
    std::optional<placement_refusal> refusal;
    for (int index = 0; index < 400 && !refusal; ++index) {
        const auto work = plan(5, static_cast<std::uint64_t>(index));
        const auto decision = board.place(model_service(), work, {}, target, now);
        if (const auto* refused = std::get_if<placement_refusal>(&decision)) {
            refusal = *refused;
            break;
        }
        ++counts[placed(decision)];
        static_cast<void>(board.start(model_service(), placed(decision), work, now));
    }
    REQUIRE(refusal.has_value());
    CHECK(refusal->reason == refusal_reason::overloaded);
    CHECK(refusal->retry_after > milliseconds(0));
    CHECK(counts.size() == 3);
    CHECK(counts[endpoint_id("k1")] > 3);
    CHECK(counts[endpoint_id("k2")] > 3);
}

TEST_CASE("less urgent requests are refused first")
{
    auto board = make_board();
    const monotonic_time now{};
    auto urgent = plan(5);
    auto patient = plan(5);
    patient.urgency = 2;
    while (std::holds_alternative<placement>(board.place(model_service(), patient, {}, target, now)))
        static_cast<void>(board.start(
            model_service(), placed(board.place(model_service(), patient, {}, target, now)), patient, now));
    CHECK(std::holds_alternative<placement>(board.place(model_service(), urgent, {}, target, now)));
}

TEST_CASE("a leaving or tried endpoint gets nothing")
{
    auto board = make_board();
    auto leaving = endpoint("k1", "kingston");
    leaving.is_leaving = true;
    board.set_endpoints({leaving, endpoint("k2", "kingston")});
    const monotonic_time now{};
    CHECK(placed(board.place(model_service(), plan(1), {}, target, now)) == endpoint_id("k2"));
    const auto none = board.place(model_service(), plan(1), {endpoint_id("k2")}, target, now);
    REQUIRE(std::holds_alternative<placement_refusal>(none));
    CHECK(std::get<placement_refusal>(none).reason == refusal_reason::no_endpoint);
}

TEST_CASE("an unreachable endpoint is avoided for a while")
{
    auto board = make_board();
    const monotonic_time now{};
    const auto first = placed(board.place(model_service(), plan(2), {}, target, now));
    auto ticket = board.start(model_service(), first, plan(2), now);
    board.finish(ticket, attempt_result::unreachable, now);
    CHECK(placed(board.place(model_service(), plan(2), {}, target, now)) != first);
    CHECK(board.find(first)->running == 0);
    CHECK(board.find(first)->waiting_tokens == 0);
}

TEST_CASE("an endpoint that fails more than the others is left alone")
{
    auto board = make_board();
    monotonic_time now{};
    for (int index = 0; index < 20; ++index) {
        auto ticket = board.start(model_service(), endpoint_id("k1"), plan(3), now);
        board.finish(ticket, attempt_result::error_answer, now);
    }
    CHECK(placed(board.place(model_service(), plan(3), {}, target, now)) == endpoint_id("k2"));
}

TEST_CASE("the counts of a former incarnation do not burden the new one")
{
    auto board = make_board();
    const monotonic_time now{};
    auto ticket = board.start(model_service(), endpoint_id("k1"), plan(4), now);
    auto restarted = endpoint("k1", "kingston");
    restarted.started_ms = 99;
    board.set_endpoints({restarted});
    CHECK(board.find(endpoint_id("k1"))->running == 0);
    board.finish(ticket, attempt_result::broken, now);
    CHECK(board.find(endpoint_id("k1"))->consecutive_failures == 0);
}

} // namespace siskinwharf::dispatch
