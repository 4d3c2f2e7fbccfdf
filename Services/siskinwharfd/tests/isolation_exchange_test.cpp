#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "isolation_exchange.h"
#include "runner_fixture.h"

namespace asio = boost::asio;
using namespace siskinwharf;
using namespace siskinwharf::entry;

namespace {

const admission::content_key suspect{account_id("mill:two"), "d1"};
const instance_id first("j");
const instance_id second("k");

/// An exchange with peers that answer in turn; one without an answer left is silent.
struct isolation_fixture : runner_fixture {
    isolation_fixture()
    {
        add_endpoint("e1", 1, 4);
        exchange.start();
    }

    asio::awaitable<std::optional<peer::message>> answer(instance_id peer, peer::message body)
    {
        asked[peer].push_back(std::get<peer::isolation_request>(body));
        auto& left = answers[peer];
        if (left.empty())
            co_return std::nullopt;
        const auto next = left.front();
        left.erase(left.begin());
        co_return next;
    }

    bool claim(milliseconds limit)
    {
        std::optional<bool> result;
        isolation_exchange& asking = exchange;
        asio::co_spawn(context, asking.claim(endpoint_id("e1"), suspect, now() + limit),
                       [&](const std::exception_ptr&, bool agreed) { result = agreed; });
        while (!result)
            context.run_one();
        return *result;
    }

    std::map<instance_id, std::vector<peer::isolation_reply>> answers;
    std::map<instance_id, std::vector<peer::isolation_request>> asked;
    peer_ports ports{[] {
                         return std::vector<membership::member_info>{{first, {"127.0.0.1", 1}},
                                                                     {second, {"127.0.0.1", 2}}};
                     },
                     [](const membership::member_info&, const peer::message&) {},
                     [this](membership::member_info member, peer::message body) {
                         return answer(std::move(member.member), std::move(body));
                     }};
    isolation_exchange exchange{context, core, ports};
};

} // namespace

TEST_CASE("an endpoint is claimed when all peers that answer keep it clear", "[isolation]")
{
    // Guards against a start that one peer has refused, against one beside requests that still run at a peer,
    // and against a silent peer that stops all suspects.
    struct claim_case {
        std::string name;
        std::vector<peer::isolation_reply> first_answers;
        std::vector<peer::isolation_reply> second_answers;
        milliseconds limit;
        bool claimed;
        std::size_t first_asked;
    };
    const auto each = GENERATE(
        claim_case{"all grant", {{true, 0}}, {{true, 0}}, seconds(60), true, 1},
        claim_case{"one refuses", {{true, 0}}, {{false, 0}}, seconds(60), false, 1},
        claim_case{"one is silent", {{true, 0}}, {}, seconds(60), true, 1},
        claim_case{"one drains", {{true, 2}, {true, 0}}, {{true, 0}}, seconds(60), true, 2},
        claim_case{"one never drains", {{true, 2}, {true, 2}}, {{true, 0}}, milliseconds(0), false, 1});
    INFO(each.name);
    isolation_fixture test;
    test.answers[first] = each.first_answers;
    test.answers[second] = each.second_answers;
    CHECK(test.claim(each.limit) == each.claimed);
    CHECK(test.asked[first].size() == each.first_asked);
    CHECK(test.asked[second].size() == 1);
}

TEST_CASE("a peer holds the endpoint for the suspect that was named", "[isolation]")
{
    // Guards against an account or digest that two processes read differently, and against a hold for ever.
    isolation_fixture asking;
    asking.answers[first] = {{true, 0}};
    REQUIRE(asking.claim(seconds(60)));
    REQUIRE(asking.asked[first].size() == 1);
    const auto request = asking.asked[first].front();
    isolation_fixture asked;
    CHECK(asked.exchange.reply(second, request) == peer::isolation_reply{true, 0});
    const auto copy = asked.core.isolation.hold_for_peer(first, endpoint_id("e2"), suspect, seconds(1));
    CHECK_FALSE(copy.granted);
    auto release = request;
    release.hold = milliseconds(0);
    CHECK(asked.exchange.reply(second, release).granted);
    CHECK_FALSE(asked.core.isolation.any_reserved());
}
