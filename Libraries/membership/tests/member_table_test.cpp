#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/peer/frame.h"
#include "virtual_network.h"

namespace siskinwharf::membership {

using peer::member_state;

namespace {

using changes = std::vector<member_change>;

// Events at one node about one member.
changes events_about(const virtual_network::node& self, const instance_id& member)
{
    changes result;
    for (const auto& event : self.events) {
        if (event.member == member)
            result.push_back(event.change);
    }
    return result;
}

// A network of up to 14 processes, the size of a failure domain at full scale, in which all know each other.
std::unique_ptr<virtual_network> make_network(std::size_t smallest, double loss)
{
    const auto size = *rc::gen::inRange<std::size_t>(smallest, 15);
    auto network = std::make_unique<virtual_network>(size, loss, *rc::gen::arbitrary<std::uint64_t>());
    network->list(virtual_network::list_of(size));
    return network;
}

void start(virtual_network& network)
{
    network.run(milliseconds(30000));
    RC_ASSERT(network.all_alive());
    for (auto& self : network.nodes)
        self.events.clear();
}

} // namespace

TEST_CASE("processes find each other through a stale list and message loss, and none is declared dead")
{
    CHECK(rc::check([] {
        const auto size = *rc::gen::inRange<std::size_t>(3, 15);
        const auto loss = *rc::gen::inRange(0, 21) / 100.0;
        virtual_network network(size, loss, *rc::gen::arbitrary<std::uint64_t>());
        // The list still shows only the first process, and one that no longer exists.
        auto list = virtual_network::list_of(1);
        list.push_back({virtual_network::id_of(size - 1), {"10.9.9.9", 1}, false});
        network.list(list);
        network.run(milliseconds(120000));
        RC_ASSERT(network.count(member_change::dead) == 0U);
        // A suspicion that is being refuted can be open at any moment under loss.
        RC_ASSERT(network.agree([&](std::size_t index, std::size_t other) {
            const auto members = network.nodes[index].members.members();
            const auto found = std::find_if(members.begin(), members.end(), [&](const member_info& member) {
                return member.member == virtual_network::id_of(other);
            });
            return found->state == member_state::suspected ? member_state::suspected : member_state::alive;
        }));
    }));
}

TEST_CASE("a process that was frozen for 60 s comes back without flapping and takes nobody for dead")
{
    CHECK(rc::check([] {
        const auto owner = make_network(3, 0);
        auto& network = *owner;
        start(network);
        network.nodes[0].frozen = true;
        network.run(milliseconds(60000));
        network.thaw(0);
        network.run(milliseconds(15000));
        RC_ASSERT(network.all_alive());
        for (std::size_t index = 1; index < network.nodes.size(); ++index) {
            RC_ASSERT(events_about(network.nodes[index], virtual_network::id_of(0)) ==
                      (changes{member_change::suspected, member_change::dead, member_change::alive}));
            RC_ASSERT(network.nodes[index].events.size() == 3U);
        }
        RC_ASSERT(network.nodes[0].events.empty());
    }));
}

TEST_CASE("a process that was frozen for less than the suspicion time is never declared dead")
{
    CHECK(rc::check([] {
        const auto owner = make_network(3, 0.2);
        auto& network = *owner;
        network.run(milliseconds(30000));
        network.nodes[0].frozen = true;
        network.run(milliseconds(*rc::gen::inRange(100, 6000)));
        network.thaw(0);
        network.run(milliseconds(15000));
        RC_ASSERT(network.count(member_change::dead) == 0U);
    }));
}

TEST_CASE("a suspicion does not expire while the process that holds it is frozen")
{
    virtual_network network(4, 0, 1);
    network.list(virtual_network::list_of(4));
    network.run(milliseconds(10000));
    network.nodes[0].events.clear();
    network.reachable = [](std::size_t from, std::size_t to) {
        return from != 1 && to != 1;
    };
    while (network.nodes[0].events.empty())
        network.run(milliseconds(10));
    network.reachable = {};
    network.nodes[0].frozen = true;
    network.run(milliseconds(60000));
    network.thaw(0);
    network.run(milliseconds(15000));
    CHECK(events_about(network.nodes[0], virtual_network::id_of(1)) ==
          (changes{member_change::suspected, member_change::alive}));
}

TEST_CASE("both sides of a partition go on, and they find each other when it heals")
{
    CHECK(rc::check([] {
        const auto owner = make_network(4, 0);
        auto& network = *owner;
        start(network);
        const auto first_side = *rc::gen::inRange<std::size_t>(1, network.nodes.size());
        network.reachable = [first_side](std::size_t from, std::size_t to) {
            return (from < first_side) == (to < first_side);
        };
        network.run(milliseconds(60000));
        RC_ASSERT(network.agree([&](std::size_t index, std::size_t other) {
            return network.reachable(index, other) ? member_state::alive : member_state::dead;
        }));
        network.reachable = {};
        network.run(milliseconds(30000));
        RC_ASSERT(network.all_alive());
    }));
}

TEST_CASE("a crashed process is dead everywhere within 20 s, and one that leaves is never suspected")
{
    CHECK(rc::check([] {
        const auto owner = make_network(4, 0);
        auto& network = *owner;
        start(network);
        network.nodes[0].running = false;
        network.perform(1, network.nodes[1].members.leave(network.now));
        network.run(milliseconds(2000));
        network.nodes[1].running = false;
        network.run(milliseconds(18000));
        for (std::size_t index = 2; index < network.nodes.size(); ++index) {
            RC_ASSERT(events_about(network.nodes[index], virtual_network::id_of(0)) ==
                      (changes{member_change::suspected, member_change::dead}));
            RC_ASSERT(events_about(network.nodes[index], virtual_network::id_of(1)) ==
                      changes{member_change::left});
        }
    }));
}

TEST_CASE("every process knows of a leaving endpoint within 2 s at 30% loss, without the platform")
{
    CHECK(rc::check([] {
        const auto owner = make_network(3, 0.3);
        auto& network = *owner;
        network.run(milliseconds(30000));
        const endpoint_id endpoint("m-3");
        const auto changes = network.nodes[0].endpoints.report_leaving(network.now, endpoint,
                                                                       endpoint_source::refusal, 5'000'000);
        network.perform(0, network.nodes[0].members.announce(network.now, changes.announce));
        network.run(milliseconds(2000));
        for (const auto& self : network.nodes)
            RC_ASSERT(self.endpoints.state_of(endpoint) == peer::endpoint_state::leaving);
    }));
}

TEST_CASE("an announcement is repeated to the members that have not confirmed it, and to no others")
{
    // Guards against a leaving endpoint that one process does not hear of because three datagrams were lost.
    virtual_network network(3, 0, 1);
    network.list(virtual_network::list_of(3));
    network.run(milliseconds(10000));
    std::map<std::size_t, std::size_t> announced;
    network.on_send = [&](std::size_t, const outgoing_message& message) {
        if (std::holds_alternative<peer::endpoint_notices>(message.body))
            ++announced[virtual_network::index_of(message.recipient)];
    };
    network.reachable = [](std::size_t from, std::size_t to) {
        return from != 0 || to != 2;
    };
    const std::vector<peer::endpoint_notice> notices{
        {endpoint_id("m-3"), peer::endpoint_state::leaving, 5'000'000}};
    network.perform(0, network.nodes[0].members.announce(network.now, notices));
    network.run(milliseconds(1000));
    CHECK(announced[1] == 1);
    CHECK(announced[2] > 3);
    network.reachable = {};
    network.run(milliseconds(500));
    const auto until_heard = announced[2];
    network.run(milliseconds(2000));
    CHECK(announced[2] == until_heard);
}

TEST_CASE("at 30% loss for 20 minutes, every false suspicion is refuted before it expires")
{
    virtual_network network(14, 0.3, 7);
    network.list(virtual_network::list_of(14));
    network.run(milliseconds(20 * 60 * 1000));
    CHECK(network.count(member_change::suspected) > 0);
    CHECK(network.count(member_change::dead) == 0);
}

TEST_CASE("a broken path between two processes raises no suspicion, because others reach both")
{
    virtual_network network(5, 0, 1);
    network.reachable = [](std::size_t from, std::size_t to) {
        return from + to != 1;
    };
    network.list(virtual_network::list_of(5));
    network.run(milliseconds(60000));
    CHECK(network.all_alive());
    CHECK(network.count(member_change::suspected) == 0);
}

TEST_CASE("a process that joins later learns which endpoints have departed")
{
    virtual_network network(4, 0, 1);
    network.nodes[3].running = false;
    network.list(virtual_network::list_of(3));
    const endpoint_id endpoint("m-3");
    (void)network.nodes[0].endpoints.report_leaving({}, endpoint, endpoint_source::refusal, 5);
    network.nodes[1].endpoints = network.nodes[2].endpoints = network.nodes[0].endpoints;
    network.run(milliseconds(60000));
    network.nodes[3].running = true;
    network.list(virtual_network::list_of(4));
    network.run(milliseconds(2000));
    CHECK(network.all_alive());
    CHECK(network.nodes[3].endpoints.state_of(endpoint) == peer::endpoint_state::leaving);
}

TEST_CASE("claims about a member are ordered by incarnation, then by state")
{
    struct claim {
        member_state state;
        std::uint64_t incarnation;
    };
    struct fault {
        std::string name;
        std::vector<claim> claims;
        changes events;
    };
    constexpr auto alive = member_state::alive;
    constexpr auto suspected = member_state::suspected;
    constexpr auto dead = member_state::dead;
    const fault faults[] = {
        {"duplicate", {{alive, 5}, {alive, 5}}, {member_change::alive}},
        {"late suspicion of an older incarnation", {{alive, 5}, {suspected, 4}}, {member_change::alive}},
        {"late claim that a dead member is alive",
         {{alive, 5}, {dead, 5}, {alive, 5}, {suspected, 5}},
         {member_change::alive, member_change::dead}},
        {"refutation",
         {{alive, 5}, {suspected, 5}, {alive, 6}, {dead, 5}},
         {member_change::alive, member_change::suspected, member_change::alive}},
        {"restart", {{dead, 5}, {alive, 9}}, {member_change::alive}},
        {"end of a member that was never known", {{dead, 5}}, {}},
        {"restart after leaving",
         {{alive, 5}, {member_state::left, 5}, {dead, 5}, {alive, 9}},
         {member_change::alive, member_change::left, member_change::alive}},
        {"incarnation that no process has", {{suspected, 0}}, {}},
    };
    for (const auto& [name, claims, events] : faults) {
        CAPTURE(name);
        std::mt19937_64 random(1);
        member_table table({}, instance_id("self"), {"10.0.0.1", 1}, 1);
        changes seen;
        for (const auto& [state, incarnation] : claims) {
            const peer::gossip news{{{instance_id("other"), {"10.0.0.2", 2}, state, incarnation}}, {}, 0};
            for (const auto& event :
                 table.receive({}, random, instance_id("third"), {"10.0.0.3", 3}, peer::ack{0, news}).events)
                seen.push_back(event.change);
        }
        CHECK(seen == events);
    }
}

TEST_CASE("every message fits into a datagram when all endpoints leave and all members are suspected")
{
    // Ids of 64 bytes and IPv6 addresses are the longest that are planned for.
    const auto long_id = [](int number) {
        return std::to_string(1000 + number) + std::string(60, 'x');
    };
    const peer::address contact{"2001:0db8:0000:0000:0000:0000:0000:1111", 65535};
    constexpr std::uint64_t incarnation = 1'796'000'000'000;
    std::mt19937_64 random(1);
    member_table table({}, instance_id(long_id(0)), contact, incarnation);
    peer::gossip news{{}, {}, UINT64_MAX};
    for (int member = 1; member < 15; ++member)
        news.members.push_back({instance_id(long_id(member)), contact, member_state::suspected, incarnation});
    std::vector<peer::endpoint_notice> notices(88, {{}, peer::endpoint_state::leaving, incarnation});
    for (std::size_t endpoint = 0; endpoint < notices.size(); ++endpoint)
        notices[endpoint].endpoint = endpoint_id(long_id(static_cast<int>(endpoint)));
    const auto check = [&](const member_output& output) {
        for (const auto& message : output.messages) {
            const peer::frame frame{instance_id(long_id(0)), UINT64_MAX, 0, message.body};
            const auto encoded = peer::encode(frame, "key", message.recipient, peer::datagram_limit);
            CHECK((message.how != delivery::datagram || std::holds_alternative<std::string>(encoded)));
        }
        return output.messages.size();
    };
    std::size_t sent =
        check(table.receive({}, random, instance_id(long_id(1)), contact, peer::ping{1, news}));
    sent += check(table.announce({}, notices));
    const peer::ping_request indirect{UINT64_MAX, instance_id(long_id(2)), contact, {}};
    monotonic_time now;
    for (int step = 0; step < 50; ++step, now += member_tick_period) {
        sent += check(table.tick(now, random));
        sent += check(table.receive(now, random, instance_id(long_id(1)), contact, indirect));
    }
    CHECK(sent > 400);
}

TEST_CASE("the instance list marks members as leaving, once, and removes none that answers")
{
    virtual_network network(3, 0, 1);
    network.list(virtual_network::list_of(3));
    network.run(milliseconds(10000));
    auto list = virtual_network::list_of(2);
    list[1].leaving = true;
    auto& members = network.nodes[0].members;
    CHECK(members.apply_instance_list(network.now, list).events ==
          std::vector<member_event>{{virtual_network::id_of(1), member_change::leaving}});
    CHECK(members.apply_instance_list(network.now, virtual_network::list_of(2)).events.empty());
    CHECK(members.working_members() == std::vector{virtual_network::id_of(0), virtual_network::id_of(2)});
    network.run(milliseconds(30000));
    CHECK(network.all_alive());
}

TEST_CASE("the newest sheet version spreads with the probes, for processes that cannot reach the platform")
{
    virtual_network network(5, 0.1, 1);
    network.list(virtual_network::list_of(5));
    network.run(milliseconds(10000));
    network.nodes[3].members.set_sheet_version(7);
    network.run(milliseconds(10000));
    for (const std::size_t index : {0U, 1U, 2U, 4U}) {
        const auto newer = network.nodes[index].members.newer_sheet();
        REQUIRE(newer);
        CHECK(newer->version == 7);
    }
    CHECK_FALSE(network.nodes[3].members.newer_sheet());
}

TEST_CASE("another peer provides a sheet that the one that announced it cannot provide")
{
    // Guards against asking one peer for ever that has no copy and is frozen or cut off.
    virtual_network network(3, 0, 1);
    auto& members = network.nodes[0].members;
    std::mt19937_64 random(1);
    const auto announced_by = [&](std::size_t index) {
        peer::ping probe;
        probe.news.sheet_version = 7;
        (void)members.receive(network.now, random, virtual_network::id_of(index), {"127.0.0.1", 1}, probe);
        return members.newer_sheet().value_or(member_table::known_sheet{}).holder;
    };
    CHECK(announced_by(1) == virtual_network::id_of(1));
    CHECK(announced_by(2) == virtual_network::id_of(1));
    members.forget_newer_sheet(6);
    CHECK(members.newer_sheet());
    members.forget_newer_sheet(7);
    CHECK_FALSE(members.newer_sheet());
    CHECK(announced_by(2) == virtual_network::id_of(2));
}

} // namespace siskinwharf::membership
