#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "siskinwharf/forwarding/peer_table.h"
#include "siskinwharf/forwarding/quota_table.h"
#include "siskinwharf/forwarding/update_fetch_plan.h"

namespace siskinwharf::forwarding {

namespace {

const failure_domain_id own_domain("kingston-a");
const failure_domain_id other_domain("montego-a");
const account_id bakery("bakery");
const service_id plans("plans");

process_settings make_settings(const std::string& id, const failure_domain_id& domain = own_domain)
{
    process_settings settings;
    settings.instance = instance_id(id);
    settings.domain = domain;
    settings.region = region_id("r-" + domain.value());
    settings.regions = {{own_domain, region_id("r-kingston-a")}, {other_domain, region_id("r-montego-a")}};
    return settings;
}

std::string member(int index)
{
    return "entry-" + std::to_string(index);
}

exchange::process_state make_state(const std::string& id, const failure_domain_id& domain,
                                   std::uint64_t sequence = 1)
{
    exchange::process_state state;
    state.process = instance_id(id);
    state.start = 1;
    state.sequence = sequence;
    state.domain = domain;
    state.uptime = seconds(60);
    state.port = static_cast<std::uint16_t>(7'000 + std::stoi(id.substr(id.find('-') + 1)));
    state.accounts = {{bakery, 100, 10, 20}};
    state.services = {{plans, 1'000, 2}};
    return state;
}

exchange::domain_report make_report(const std::string& relay, std::uint64_t sequence = 1)
{
    exchange::domain_report report;
    report.process = instance_id(relay);
    report.start = 1;
    report.sequence = sequence;
    report.domain = other_domain;
    report.processes = 20;
    report.coverage = 1;
    report.accounts = {{bakery, 4'000, 400, 500}};
    report.services = {{plans, 20'000, 40}};
    report.counts_age = milliseconds(1'500);
    report.lease = {7, milliseconds(300)};
    report.port = 7'500;
    return report;
}

constexpr int domain_size = 30;

/// The table of one of 30 processes of a failure domain that have just told their state.
peer_table make_table(const std::string& self, monotonic_time now)
{
    peer_table table(make_settings(self));
    for (int index = 0; index < domain_size; ++index) {
        if (member(index) != self)
            table.take(make_state(member(index), own_domain), "10.0.0.1", now);
    }
    return table;
}

/// The processes of the failure domain that count themselves as relays.
std::set<int> find_relays(monotonic_time now)
{
    std::set<int> relays;
    for (int index = 0; index < domain_size; ++index) {
        if (make_table(member(index), now).is_relay(now))
            relays.insert(index);
    }
    return relays;
}

const monotonic_time start = monotonic_time{} + seconds(100);

} // namespace

TEST_CASE("a small deployment has no relays")
{
    peer_table table(make_settings(member(0)));
    for (int index = 1; index < 9; ++index)
        table.take(make_state(member(index), own_domain), "10.0.0.1", start);
    CHECK_FALSE(table.uses_relays());
    CHECK_FALSE(table.is_relay(start));
    table.take(make_report("relay-1"), "10.0.0.2", start);
    CHECK(table.demand_of(plans, start).size() == 1);
    CHECK(table.counts_complete_until(start) >= start - milliseconds(200));
}

TEST_CASE("all processes of a failure domain agree on its two relays")
{
    const auto relays = find_relays(start);
    REQUIRE(relays.size() == 2);
    std::set<int> ports;
    for (const auto index : relays)
        ports.insert(7'000 + index);
    for (int index = 0; index < domain_size; ++index) {
        if (relays.contains(index))
            continue;
        std::set<int> told;
        for (const auto& address : make_table(member(index), start).relays(start))
            told.insert(address.port);
        CHECK(told == ports);
    }
}

TEST_CASE("a relay that falls silent is replaced")
{
    // Guards against processes that go on telling their state to a dead relay for as long as it counts as a
    // peer.
    const auto relays = find_relays(start);
    const auto silent = member(*relays.begin());
    const auto other = member(*relays.rbegin());
    const auto later = start + seconds(3);
    int replacements = 0;
    for (int index = 0; index < domain_size; ++index) {
        if (relays.contains(index))
            continue;
        auto table = make_table(member(index), start);
        table.take(exchange::deployment_report{instance_id(silent), 1, 1, 29, 1, {}, {}}, start);
        table.take(exchange::deployment_report{instance_id(other), 1, 1, 29, 1, {}, {}}, later);
        replacements += table.is_relay(later) ? 1 : 0;
        for (const auto& address : table.relays(later))
            CHECK(address.port != 7'000 + *relays.begin());
    }
    CHECK(replacements == 1);
}

TEST_CASE("the holder of the lease is a relay, because its duties need the sums")
{
    const auto relays = find_relays(start);
    int index = 0;
    while (relays.contains(index))
        ++index;
    auto holder = make_table(member(index), start);
    holder.set_lease_number(4);
    CHECK(holder.is_relay(start));
    auto observer = make_table(member(*relays.begin()), start);
    auto state = make_state(member(index), own_domain, 2);
    state.lease_number = 4;
    observer.take(state, "10.0.0.1", start);
    const auto told = observer.relays(start);
    CHECK(std::ranges::any_of(told, [&](const auto& address) { return address.port == 7'000 + index; }));
}

TEST_CASE("a relay adds the newest report of each failure domain to what its own processes say")
{
    const auto relays = find_relays(start);
    auto table = make_table(member(*relays.begin()), start);
    table.take(make_report("relay-1"), "10.0.0.2", start);
    table.take(make_report("relay-2"), "10.0.0.3", start + milliseconds(300));
    // A repeated or delayed datagram changes nothing.
    auto older = make_report("relay-2", 0);
    older.accounts = {{bakery, 1, 1, 1}};
    table.take(older, "10.0.0.3", start + milliseconds(400));
    const auto now = start + milliseconds(500);
    const auto view = table.view(now);
    REQUIRE(view.summaries.size() == 1);
    CHECK(view.summaries.front().processes == 20);
    CHECK(view.summaries.front().age == milliseconds(200));
    CHECK(std::ranges::none_of(view.peers, &peer_view::is_summed));
    const auto demand = table.demand_of(plans, now);
    CHECK(demand.at(own_domain).tokens_per_second == std::uint64_t{domain_size - 1} * 1'000);
    CHECK(demand.at(other_domain).tokens_per_second == 20'000);
    CHECK(table.counts_complete_until(now) <= start + milliseconds(300) - milliseconds(1'500));
}

TEST_CASE("a process of another failure domain is counted in its domain's report only")
{
    const auto relays = find_relays(start);
    auto table = make_table(member(*relays.begin()), start);
    table.take(make_state("entry-90", other_domain), "10.0.0.4", start);
    table.take(make_report("relay-1"), "10.0.0.2", start);
    CHECK(table.demand_of(plans, start).at(other_domain).tokens_per_second == 20'000);
    CHECK_FALSE(table.accepts({instance_id("entry-90"), 1, {}, {}}));
    CHECK(table.accepts({instance_id("relay-1"), 1, {}, other_domain}));
    CHECK_FALSE(table.accepts({instance_id(member(1)), 1, {}, own_domain}));
}

TEST_CASE("reports go to the relays that were heard, and to likely ones of a domain that is silent")
{
    const auto relays = find_relays(start);
    auto table = make_table(member(*relays.begin()), start);
    for (int index = 60; index < 70; ++index)
        table.take(make_state(member(index), other_domain), "10.0.0.4", start);
    CHECK(table.relays_of_other_domains(start).size() == 2);
    table.take(make_report(member(60)), "10.0.0.4", start - milliseconds(1));
    table.take(make_report(member(61)), "10.0.0.4", start);
    const auto heard = table.relays_of_other_domains(start);
    REQUIRE(heard.size() == 2);
    CHECK(heard.front().port == 7'500);
    // Relays that have fallen silent are still told, because they may wait to hear from this process, as
    // they do from a new lease holder; besides them, the two that would replace them.
    std::set<int> told;
    for (const auto& address : table.relays_of_other_domains(start + seconds(3)))
        told.insert(address.port);
    CHECK(told.size() == 3);
    CHECK(told.contains(7'500));
}

TEST_CASE("processes that miss the same version ask different peers for it")
{
    // Guards against one peer that has to send each change to all others of a large failure domain.
    std::set<int> asked;
    for (int index = 0; index < domain_size; ++index) {
        auto table = make_table(member(index), start);
        for (int peer = 0; peer < 2; ++peer) {
            auto state = make_state("entry-" + std::to_string(100 + peer), own_domain);
            state.list = {1, 8};
            table.take(state, "10.0.0.1", start);
        }
        const known_versions own{{}, {1, 7}};
        update_fetch_plan plan(shared_item::endpoint_list);
        plan.observe(table.offers(shared_item::endpoint_list, own, start), own, start);
        const auto newer = plan.next(start);
        REQUIRE(newer);
        CHECK(newer->versions.list == store_position{1, 8});
        asked.insert(newer->address.port);
    }
    CHECK(asked.size() == 2);
}

TEST_CASE("the lease holder is seen through relays, and missed soon after it was last seen")
{
    auto table = make_table(member(0), start);
    CHECK_FALSE(table.has_live_lease_holder(start));
    table.take(exchange::deployment_report{instance_id(member(1)), 1, 1, 29, 1, {}, {7, milliseconds(900)}},
               start);
    CHECK(table.has_live_lease_holder(start));
    CHECK(table.lease_sighting(start + milliseconds(500)).age == milliseconds(1'400));
    CHECK_FALSE(table.has_live_lease_holder(start + seconds(2)));
}

TEST_CASE("a relay tells each process the use by all others")
{
    // Guards against a process that counts its own use twice, and against one that is counted at no relay.
    const auto relays = find_relays(start);
    auto table = make_table(member(*relays.begin()), start);
    table.take(make_report("relay-1"), "10.0.0.2", start);
    service_bounds bounds;
    quota_table quotas(bounds, start - seconds(60));
    deployment::account account;
    account.id = bakery;
    account.quota_per_second = 100'000;
    quotas.set_accounts({account}, start);
    quotas.set_peers(table.view(start), start);
    REQUIRE(quotas.take(bakery, 50, 0, start));
    quotas.set_peers(table.view(start), start);
    const auto& receiver = *table.domain_peers().front();
    const auto others =
        quotas.use_without({&*receiver.state, milliseconds(0), true}, account_selection::all, start);
    REQUIRE(others.size() == 1);
    CHECK(others.front().in_window == 50 + std::uint64_t{domain_size - 2} * 100 + 4'000);
    REQUIRE(quotas.domain_use(account_selection::all, start).size() == 1);
    CHECK(quotas.domain_use(account_selection::all, start).front().in_window ==
          50 + std::uint64_t{domain_size - 1} * 100);
    CHECK(quotas.coverage() == Approx(1));
}

TEST_CASE("an update of accounts close to their limit replaces their use in the last report")
{
    // Guards against an update that hides the other accounts, or makes their use look new.
    auto table = make_table(member(*find_relays(start).begin()), start);
    auto report = make_report("relay-1");
    report.accounts = {{bakery, 1'000, 100, 100}, {account_id("mill"), 500, 10, 10}};
    table.take(report, "10.0.0.2", start);
    const exchange::use_update update{instance_id("relay-1"),
                                      report.start,
                                      2,
                                      report.domain,
                                      {{bakery, 3'000, 2'000, 9'000, milliseconds(40)}}};
    table.take(update, start + milliseconds(200));
    auto repeated = update;
    repeated.accounts.front().in_window = 1;
    table.take(repeated, start + milliseconds(250));
    const auto view = table.view(start + milliseconds(300));
    REQUIRE(view.summaries.size() == 1);
    const auto& known = *view.summaries.front().accounts;
    REQUIRE(known.size() == 2);
    CHECK(known[0].in_window == 3'000);
    CHECK(view.summaries.front().age + known[0].age == milliseconds(140));
    CHECK(known[1].in_window == 500);
    CHECK(view.summaries.front().age + known[1].age == milliseconds(300));
}

TEST_CASE("an update of a relay that has sent no report changes nothing")
{
    // Guards against an empty report in its place, by which all other processes would have used nothing.
    auto table = make_table(member(*find_relays(start).begin()), start);
    const auto summaries = table.view(start).summaries.size();
    table.take(
        exchange::use_update{instance_id("relay-9"), 1, 1, failure_domain_id("far-a"), {{bakery, 1, 1, 1}}},
        start);
    CHECK(table.view(start).summaries.size() == summaries);
    auto member_table = make_table(member(domain_size - 1), start);
    const auto before = member_table.view(start).summaries.size();
    member_table.take(exchange::use_update{instance_id(member(0)), 1, 1, {}, {{bakery, 1, 1, 1}}}, start);
    CHECK(member_table.view(start).summaries.size() == before);
}

TEST_CASE("updates between reports name only accounts that are close to their limit")
{
    service_bounds bounds;
    quota_table quotas(bounds, start - seconds(60));
    std::vector<deployment::account> accounts(2);
    accounts[0].id = bakery;
    accounts[0].quota_per_second = 1'000;
    accounts[1].id = account_id("mill");
    accounts[1].quota_per_second = 1'000'000;
    quotas.set_accounts(accounts, start);
    quotas.set_peers({}, start);
    for (const auto& account : accounts)
        REQUIRE(quotas.take(account.id, 2'000, 0, start));
    const auto named = quotas.domain_use(account_selection::near_limit, start);
    REQUIRE(named.size() == 1);
    CHECK(named.front().account == bakery);
}

TEST_CASE("a started process learns from its peers how long the store has lost nothing")
{
    auto table = make_table(member(0), start);
    CHECK(table.era_known_since(3, start) == start);
    auto state = make_state("entry-70", own_domain);
    state.list = {3, 8};
    state.era_age = seconds(40);
    table.take(state, "10.0.0.1", start);
    auto behind = make_state("entry-71", own_domain);
    behind.list = {2, 90};
    behind.era_age = seconds(400);
    table.take(behind, "10.0.0.2", start);
    CHECK(table.era_known_since(3, start) == start - seconds(40));
}

TEST_CASE("in a large deployment a process tells only its failure domain of its streams")
{
    // Guards against traffic between all processes of several hundred while software versions are mixed.
    auto table = make_table(member(0), start);
    REQUIRE(table.uses_relays());
    table.take(make_state("other-1", other_domain), "10.0.0.9", start);
    CHECK(table.stream_listeners().size() == table.domain_peers().size());
    CHECK(table.stream_listeners().size() < table.peers().size());
}

} // namespace siskinwharf::forwarding
