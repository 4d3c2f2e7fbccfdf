#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/helper_choice.h"

namespace siskinwharf::dispatch {

namespace {

const monotonic_time start = monotonic_time{} + seconds(100);

/// The peers of a process: a third in its failure domain, a third in its region.
std::vector<helper> make_peers(int count)
{
    constexpr peer_distance distances[] = {peer_distance::same_domain, peer_distance::same_region,
                                           peer_distance::other_region};
    std::vector<helper> peers;
    peers.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        peers.push_back(
            {instance_id("entry-" + std::to_string(index)), "10.0.0.1", 7'602, distances[index % 3]});
    return peers;
}

struct tally {
    double served = 0;       ///< Part of the requests that found a peer with a path.
    double trips = 0;        ///< Peers asked for each request.
    std::size_t largest = 0; ///< Most requests that one peer ran at once.
};

/// Passes 2,000 requests, 10 ms apart, through peers of which `has_path` says who can help.
template<typename HasPath>
tally pass_requests(int count, const HasPath& has_path)
{
    constexpr std::size_t maximum_tries = 5;
    constexpr int requests = 2'000;
    constexpr int running_time = 50; // Requests that run at the same time.
    const auto peers = make_peers(count);
    helper_choice choice;
    std::mt19937_64 random(7);
    std::vector<instance_id> running;
    std::map<instance_id, std::size_t> load;
    tally result;
    for (int request = 0; request < requests; ++request) {
        const auto now = start + milliseconds(10) * request;
        if (running.size() >= running_time) {
            choice.on_ended(running.front());
            --load[running.front()];
            running.erase(running.begin());
        }
        std::vector<helper> tried;
        while (tried.size() < maximum_tries) {
            const auto chosen = choice.choose(peers, tried, random(), now);
            if (!chosen)
                break;
            tried.push_back(*chosen);
            result.trips += 1.0 / requests;
            if (!has_path(*chosen)) {
                choice.on_refused(chosen->process, now);
                continue;
            }
            choice.on_started(chosen->process);
            choice.on_answered(chosen->process, now);
            running.push_back(chosen->process);
            result.largest = std::max(result.largest, ++load[chosen->process]);
            result.served += 1.0 / requests;
            break;
        }
    }
    return result;
}

} // namespace

TEST_CASE("requests find a peer with a path although most peers have lost theirs")
{
    // Guards against processes that pass requests to peers which are cut off as they are.
    const int count = GENERATE(8, 69, 194);
    const auto some = pass_requests(
        count, [](const helper& peer) { return std::hash<std::string>()(peer.process.value()) % 5 < 2; });
    CAPTURE(count, some.served, some.trips, some.largest);
    CHECK(some.served >= 0.95);
    CHECK(some.trips <= 2);
    const auto other_domains =
        pass_requests(count, [](const helper& peer) { return peer.distance != peer_distance::same_domain; });
    CHECK(other_domains.served >= 0.95);
    CHECK(other_domains.trips <= 2);
}

TEST_CASE("the peers of the own failure domain share the requests evenly")
{
    // Guards against one peer that gets all requests because it answered first.
    const auto all = pass_requests(30, [](const helper&) { return true; });
    CHECK(all.served >= 0.999);
    // Ten peers of the own domain for 50 requests at a time.
    CHECK(all.largest <= 10);
}

TEST_CASE("a peer that refused or could not be reached is left out for a while")
{
    const auto peers = make_peers(1);
    helper_choice choice;
    REQUIRE(choice.choose(peers, {}, 1, start));
    choice.on_refused(peers.front().process, start);
    CHECK_FALSE(choice.choose(peers, {}, 1, start + milliseconds(499)));
    CHECK(choice.choose(peers, {}, 1, start + milliseconds(500)));
    choice.on_unreachable(peers.front().process, start);
    CHECK_FALSE(choice.choose(peers, {}, 1, start + milliseconds(1'999)));
    CHECK(choice.choose(peers, {}, 1, start + milliseconds(2'000)));
    CHECK_FALSE(choice.choose(peers, peers, 1, start + seconds(9)));
}

} // namespace siskinwharf::dispatch
