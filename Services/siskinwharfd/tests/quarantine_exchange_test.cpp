#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "quarantine_exchange.h"
#include "quarantine_outbox.h"
#include "runner_fixture.h"
#include "siskinwharf/base/digest.h"
#include "siskinwharf/peer/frame.h"

namespace asio = boost::asio;
using namespace siskinwharf;
using namespace siskinwharf::entry;
using admission::content_status;
using admission::quarantine_record;

namespace {

constexpr monotonic_time start{seconds(1'000)};
constexpr milliseconds lifetime{600'000};
constexpr milliseconds tick{100};

admission::content_key key_of(const std::string& content)
{
    return {account_id("mill"), sha256_hex(content)};
}

std::vector<instance_id> peers_of(std::size_t count)
{
    std::vector<instance_id> result;
    for (std::size_t index = 0; index < count; ++index)
        result.emplace_back("entry-kingston-" + std::to_string(index));
    return result;
}

std::size_t frame_size(const quarantine_datagram& datagram)
{
    const peer::frame frame{instance_id("entry-kingston-99"), 1ULL << 60U, 0, to_update(datagram.records)};
    const auto bytes = peer::encode(frame, std::string(32, 'k'), datagram.recipient, peer::datagram_limit);
    REQUIRE(std::holds_alternative<std::string>(bytes));
    return std::get<std::string>(bytes).size();
}

/// An exchange with peers that a test plays.
struct exchange_fixture : runner_fixture {
    exchange_fixture()
        : exchange(context, core,
                   {[this] { return peers; },
                    [this](const membership::member_info& member, const peer::message& body) {
                        sent[member.member].push_back(body);
                    },
                    [this](membership::member_info,
                           peer::message body) -> asio::awaitable<std::optional<peer::message>> {
                        requests.push_back(std::move(body));
                        co_return answer;
                    }})
    {
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    std::vector<membership::member_info> peers;
    std::map<instance_id, std::vector<peer::message>> sent;
    std::vector<peer::message> requests;
    std::optional<peer::message> answer;
    quarantine_exchange exchange;
};

} // namespace

TEST_CASE("a new record reaches all peers through loss", "[quarantine]")
{
    // Guards against a peer that misses a quarantine for good because its one datagram was lost.
    std::mt19937_64 random(20261204); // NOLINT(cert-msc32-c,cert-msc51-cpp): a fixed seed repeats.
    const auto peers = peers_of(13);
    admission::quarantine own({});
    std::map<instance_id, admission::quarantine> lists;
    for (const auto& peer : peers)
        lists.try_emplace(peer, admission::quarantine_limits{});
    quarantine_outbox outbox({});
    (void)own.on_crash(key_of("poison"), 1, start);
    (void)own.on_crash(key_of("poison"), 2, start);
    outbox.add({{key_of("poison"), {1}, lifetime}}, start);
    outbox.add({{key_of("poison"), {2}, lifetime}}, start);
    const auto informed = [&](monotonic_time now) {
        return std::ranges::count_if(lists, [&](const auto& entry) {
            return entry.second.status(key_of("poison"), now) == content_status::quarantined;
        });
    };
    for (auto now = start; now < start + seconds(120); now += tick) {
        for (const auto& datagram : outbox.take(now, peers, own)) {
            if (random() % 10 >= 3)
                lists.at(datagram.recipient).merge(datagram.records, now);
        }
        if (now == start)
            CHECK(informed(now) >= 6);
        if (now == start + seconds(10))
            CHECK(informed(now) >= 12);
    }
    CHECK(informed(start + seconds(120)) == 13);
}

TEST_CASE("the slow repetition alone brings every record to every peer", "[quarantine]")
{
    // Guards against a partitioned peer, or one beyond the limit of new records, that never learns the rest.
    const auto peers = peers_of(3);
    admission::quarantine own({});
    std::map<instance_id, admission::quarantine> lists;
    for (const auto& peer : peers)
        lists.try_emplace(peer, admission::quarantine_limits{});
    for (int index = 0; index < 40; ++index)
        (void)own.on_crash(key_of(std::to_string(index)), 1, start);
    quarantine_outbox outbox({});
    for (auto now = start; now < start + seconds(100); now += tick) {
        for (const auto& datagram : outbox.take(now, peers, own))
            lists.at(datagram.recipient).merge(datagram.records, now);
    }
    for (const auto& [peer, list] : lists)
        CHECK(list.size() == 40);
}

TEST_CASE("a mass of crashes stays within the byte budget and sends quarantines first", "[quarantine]")
{
    // Guards against control traffic over 10 KB/s, datagrams that are too long, and a quarantine that waits
    // behind the innocent neighbours of a rack that failed.
    const auto peers = peers_of(13);
    admission::quarantine own({});
    quarantine_outbox outbox({});
    std::vector<quarantine_record> suspects;
    for (std::uint64_t index = 0; index < 600; ++index)
        suspects.push_back({key_of(std::to_string(index)), {~index}, lifetime});
    own.merge(suspects, start);
    outbox.add(suspects, start);
    outbox.add({{key_of("poison"), {~1ULL, ~2ULL}, lifetime}}, start);
    std::map<instance_id, bool> informed;
    std::size_t bytes = 0;
    constexpr seconds duration{60};
    for (auto now = start; now < start + duration; now += tick) {
        for (const auto& datagram : outbox.take(now, peers, own)) {
            // With the headers of IP and UDP.
            bytes += frame_size(datagram) + 28;
            if (!informed.contains(datagram.recipient))
                CHECK(datagram.records.front().key == key_of("poison"));
            informed[datagram.recipient] = true;
        }
        if (now == start + seconds(20))
            CHECK(informed.size() == 13);
    }
    const outbox_limits limits;
    CHECK(bytes <= limits.burst_bytes + limits.bytes_per_second * duration.count());
    CHECK(bytes >= limits.bytes_per_second * duration.count() / 2);
}

TEST_CASE("nothing is sent while nothing has crashed", "[quarantine]")
{
    // Guards against traffic in the steady state.
    const admission::quarantine own({});
    quarantine_outbox outbox({});
    for (auto now = start; now < start + seconds(30); now += tick)
        CHECK(outbox.take(now, peers_of(13), own).empty());
}

TEST_CASE("records survive the wire, and malformed ones are ignored", "[quarantine]")
{
    // Guards against a digest or a crash number that two processes read differently.
    const std::vector<quarantine_record> records{{key_of("a"), {1, ~0ULL}, lifetime},
                                                 {key_of("b"), {7}, milliseconds(0)}};
    CHECK(to_records(to_update(records)) == records);
    runner_fixture test;
    peer::quarantine_update update;
    update.entries.push_back({account_id("mill"), "short", {1}, lifetime});
    update.entries.push_back({account_id("mill"), std::string(32, 'x'), {}, lifetime});
    update.entries.push_back({account_id("mill"), std::string(32, 'x'), {1, 2, 3}, lifetime});
    CHECK(test.core.merge_quarantine(to_records(update)).empty());
    CHECK(test.core.quarantine.is_empty());
}

TEST_CASE("a crash at one process quarantines at its peer", "[quarantine]")
{
    // Guards against entry processes that count by themselves.
    exchange_fixture test;
    test.peers.push_back({instance_id("j"), {"127.0.0.1", 1}});
    test.exchange.start();
    test.poll();
    test.add_endpoint("e1", 1, 4);
    const auto endpoint = test.core.table.find_info(endpoint_id("e1"));
    REQUIRE(test.core.on_endpoint_lost(key_of("poison"), *endpoint) == content_status::suspect);
    test.poll();
    REQUIRE(test.sent[instance_id("j")].size() == 1);
    const auto& update = std::get<peer::quarantine_update>(test.sent[instance_id("j")].front());

    runner_fixture peer;
    const auto key = key_of("poison");
    (void)peer.core.quarantine.on_crash(key, 1, now());
    const std::vector<admission::content_key> learned{key};
    CHECK(peer.core.merge_quarantine(to_records(update)) == learned);
    CHECK(peer.core.merge_quarantine(to_records(update)).empty());
    CHECK(peer.core.quarantine.status(key, now()) == content_status::quarantined);
}

TEST_CASE("a started process is not ready before it has the entries of a peer", "[quarantine]")
{
    // Guards against a restarted process that lets a quarantined request crash two more endpoints.
    exchange_fixture test;
    test.exchange.start();
    test.poll();
    CHECK_FALSE(test.core.quarantine_known);
    test.exchange.set_listed_peers(1);
    test.peers.push_back({instance_id("j"), {"127.0.0.1", 1}});
    const std::vector<quarantine_record> records{{key_of("poison"), {1, 2}, lifetime}};
    test.answer = to_update(records);
    while (!test.core.quarantine_known)
        test.context.run_one();
    CHECK(test.core.quarantine.status(key_of("poison"), now()) == content_status::quarantined);
    // It passes on what it has, the most urgent first.
    (void)test.core.quarantine.on_crash(key_of("neighbour"), 1, now());
    const auto reply = to_records(test.exchange.reply(instance_id("k"), {}));
    REQUIRE(reply.size() == 2);
    CHECK(reply.front().key == key_of("poison"));
}

TEST_CASE("a quarantine is confirmed by the peers before its sender is refused", "[quarantine]")
{
    // Guards against a sender who gets the refusal and resends through a peer that does not know yet.
    exchange_fixture test;
    test.exchange.start();
    test.poll();
    bool confirmed = false;
    const auto confirm = [&] {
        asio::co_spawn(test.context, test.core.confirm_quarantine(key_of("poison")),
                       [&](const std::exception_ptr&) { confirmed = true; });
        test.poll();
    };
    confirm();
    CHECK(confirmed);
    (void)test.core.quarantine.on_crash(key_of("poison"), 1, now());
    (void)test.core.quarantine.on_crash(key_of("poison"), 2, now());
    test.peers.push_back({instance_id("j"), {"127.0.0.1", 1}});
    test.peers.push_back({instance_id("k"), {"127.0.0.1", 2}});
    test.requests.clear();
    confirmed = false;
    confirm();
    CHECK(confirmed);
    REQUIRE(test.requests.size() == 2);
    const auto records = to_records(std::get<peer::quarantine_update>(test.requests.front()));
    REQUIRE(records.size() == 1);
    CHECK(records.front().crashes == std::set<admission::crash_id>{1, 2});
    // The confirmation carries no entries.
    CHECK(test.exchange.reply(instance_id("j"), to_update(records)).entries.empty());
}

TEST_CASE("a process without peers is ready at once", "[quarantine]")
{
    // Guards against a failure domain with one entry process that waits for nobody.
    exchange_fixture test;
    test.exchange.set_listed_peers(0);
    test.exchange.start();
    test.poll();
    CHECK(test.core.quarantine_known);
}
