#include <set>

#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/path_monitor.h"

namespace siskinwharf::dispatch {

namespace {

const monotonic_time start = monotonic_time{} + seconds(100);
const endpoint_id first("e1");
const endpoint_id second("e2");
constexpr std::size_t listed = 6;

/// A process whose probe just found no endpoint.
path_monitor lost_at(monotonic_time now)
{
    path_monitor monitor;
    monitor.begin_probe();
    monitor.end_probe(false, now);
    return monitor;
}

endpoint_record make_record(const std::string& id, const std::string& service, const std::string& domain)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = service_id(service);
    record.domain = failure_domain_id(domain);
    return record;
}

} // namespace

TEST_CASE("failed connections to two endpoints make a process doubt its paths, those to one do not")
{
    // Guards against a process that takes one endpoint that is down for the loss of its own paths.
    path_monitor monitor;
    monitor.on_connect_failed(first, start);
    monitor.on_connect_failed(first, start + milliseconds(10));
    CHECK_FALSE(monitor.must_probe(listed, start + milliseconds(10)));
    CHECK(monitor.must_probe(1, start + milliseconds(10)));
    monitor.on_connect_failed(second, start + milliseconds(20));
    CHECK(monitor.must_probe(listed, start + milliseconds(20)));
    CHECK_FALSE(monitor.is_lost());
    CHECK_FALSE(monitor.must_probe(listed, start + seconds(2)));
}

TEST_CASE("silence of all endpoints is suspicious while requests wait at two, and silence of one is not")
{
    // Guards against requests that wait on connections which a cut has silenced, until their deadline.
    path_monitor monitor;
    monitor.begin_wait(first, start);
    monitor.begin_wait(first, start);
    CHECK_FALSE(monitor.must_probe(listed, start + seconds(5)));
    monitor.begin_wait(second, start + seconds(5));
    CHECK_FALSE(monitor.must_probe(listed, start + seconds(5) + milliseconds(399)));
    CHECK(monitor.must_probe(listed, start + seconds(5) + milliseconds(400)));
    monitor.on_received(start + seconds(6));
    CHECK_FALSE(monitor.must_probe(listed, start + seconds(6) + milliseconds(399)));
    monitor.end_wait(second);
    CHECK_FALSE(monitor.must_probe(listed, start + seconds(9)));
}

TEST_CASE("only a connection that opens says that a path is back")
{
    // Guards against a process that goes by old connections, which live on while new ones are refused.
    auto monitor = lost_at(start);
    CHECK(monitor.is_lost());
    monitor.on_received(start + milliseconds(100));
    CHECK(monitor.is_lost());
    CHECK_FALSE(monitor.must_probe(listed, start + milliseconds(249)));
    CHECK(monitor.must_probe(listed, start + milliseconds(250)));
    monitor.begin_probe();
    CHECK_FALSE(monitor.must_probe(listed, start + milliseconds(300)));
    monitor.end_probe(true, start + milliseconds(300));
    CHECK_FALSE(monitor.is_lost());
    // What failed in the cut may be noticed later.
    CHECK(monitor.was_just_lost(start + milliseconds(900)));
    CHECK_FALSE(monitor.was_just_lost(start + seconds(2)));
}

TEST_CASE("without endpoints there is nothing to probe")
{
    path_monitor monitor;
    monitor.on_connect_failed(first, start);
    CHECK_FALSE(monitor.must_probe(0, start));
}

TEST_CASE("probed endpoints are of different services and failure domains, and change")
{
    std::vector<endpoint_record> records;
    records.reserve(21);
    for (int index = 0; index < 20; ++index)
        records.push_back(make_record("m" + std::to_string(index), "model", index % 2 == 0 ? "a" : "b"));
    records.push_back(make_record("o", "orders", "a"));
    std::set<endpoint_id> probed;
    for (std::uint64_t turn = 0; turn < 10; ++turn) {
        const auto chosen = choose_probed(records, 3, turn);
        REQUIRE(chosen.size() == 3);
        std::set<std::pair<service_id, failure_domain_id>> kinds;
        for (const auto& record : chosen) {
            kinds.emplace(record.service, record.domain);
            probed.insert(record.id);
        }
        CHECK(kinds.size() == 3);
    }
    CHECK(probed.size() > 5);
    CHECK(choose_probed({}, 3, 1).empty());
}

} // namespace siskinwharf::dispatch
