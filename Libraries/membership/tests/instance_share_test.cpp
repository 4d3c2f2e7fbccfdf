#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "siskinwharf/membership/instance_share.h"

namespace siskinwharf::membership {

namespace {

using receipt = instance_share::receipt;

constexpr std::uint64_t unix_start = 1'796'000'000'000;
/// P5: a leaving endpoint gets no new work later than this after the first sign.
constexpr milliseconds leaving_limit{2'000};

peer::instance_entry entry_of(const std::string& id, bool leaving = false)
{
    peer::instance_entry entry;
    entry.id = instance_id(id);
    entry.address = "127.0.0.1";
    entry.kind = peer::workload_kind::model;
    entry.serves = "dough-7b";
    entry.leaving = leaving;
    return entry;
}

std::vector<peer::instance_entry> list_of(std::size_t size)
{
    std::vector<peer::instance_entry> list;
    for (std::size_t index = 0; index < size; ++index)
        list.push_back(entry_of("engine-" + std::to_string(100 + index)));
    return list;
}

/// The members of a failure domain and a platform in virtual time, in steps of 50 ms. Reports arrive at once
/// unless they are lost; a fetch that a report causes is answered by its sender.
struct domain_simulation {
    explicit domain_simulation(std::size_t size, bool tags = true) : has_tags(tags)
    {
        for (std::size_t index = 0; index < size; ++index) {
            members.emplace_back("entry-" + std::to_string(index));
            shares.emplace_back(instance_share_options{}, members.back());
        }
    }

    std::string tag() const { return has_tags ? "tag-" + std::to_string(revision) : std::string{}; }

    void change(std::vector<peer::instance_entry> next)
    {
        list = std::move(next);
        ++revision;
    }

    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(50)) {
            for (std::size_t index = 0; index < shares.size(); ++index) {
                if (!silent.contains(index) && shares[index].is_read_due(now, members))
                    read(index);
            }
        }
    }

    void read(std::size_t index)
    {
        auto& share = shares[index];
        const std::string known = share.tag();
        std::optional<peer::instance_changes> news;
        if (is_down) {
            ++failed_reads;
            share.read_failed(now, random);
            return;
        }
        readers.insert(index);
        if (!known.empty() && known == tag()) {
            ++unchanged_reads;
            news = share.list_unchanged(now, random, known);
        } else {
            ++whole_reads;
            const auto unix_time =
                unix_start + static_cast<std::uint64_t>(now.time_since_epoch().count() / 1'000'000);
            news = share.list_read(now, random, unix_time, list, tag());
        }
        if (news)
            deliver(index, *news);
    }

    void deliver(std::size_t sender, const peer::instance_changes& news)
    {
        ++reports;
        for (std::size_t index = 0; index < shares.size(); ++index) {
            const bool is_lost = loss_percent != 0 && random() % 100 < loss_percent;
            if (index == sender || silent.contains(index) || is_lost)
                continue;
            if (shares[index].receive(now, random, news) != receipt::missing)
                continue;
            ++fetches;
            const auto answer = shares[sender].reply(now, shares[index].request());
            fetched_whole += answer.whole ? 1 : 0;
            shares[index].receive(now, random, answer);
        }
    }

    void reset_counts()
    {
        readers.clear();
        whole_reads = unchanged_reads = failed_reads = reports = fetches = fetched_whole = 0;
    }

    /// Whether all members that run have the platform's list.
    bool all_agree() const
    {
        for (std::size_t index = 0; index < shares.size(); ++index) {
            if (!silent.contains(index) && shares[index].entries(now) != list)
                return false;
        }
        return true;
    }

    std::size_t reader() const
    {
        for (std::size_t index = 0; index < shares.size(); ++index) {
            if (readers.contains(index))
                return index;
        }
        return shares.size();
    }

    bool has_tags;
    bool is_down = false;
    unsigned loss_percent = 0;
    std::uint64_t revision = 1;
    std::vector<peer::instance_entry> list = list_of(20);
    std::vector<instance_id> members;
    std::vector<instance_share> shares;
    std::set<std::size_t> silent; ///< Killed or frozen.
    std::set<std::size_t> readers;
    std::mt19937_64 random{7};
    monotonic_time now{seconds(100)};
    int whole_reads = 0;
    int unchanged_reads = 0;
    int failed_reads = 0;
    int reports = 0;
    int fetches = 0;
    int fetched_whole = 0;
};

} // namespace

TEST_CASE("one process of a failure domain reads the list once all have it, which guards the control budget")
{
    domain_simulation domain(14);
    domain.run(seconds(3));
    domain.reset_counts();
    domain.run(seconds(60));
    CHECK(domain.readers.size() == 1);
    CHECK(domain.whole_reads == 0);
    CHECK(domain.unchanged_reads <= 121);
    // A confirmation about each second.
    CHECK(domain.reports >= 45);
    CHECK(domain.reports <= 66);
    CHECK(domain.all_agree());
}

TEST_CASE("a change reaches all members as a change, and is read by one of them")
{
    domain_simulation domain(14);
    domain.run(seconds(3));
    domain.reset_counts();
    auto list = domain.list;
    list.erase(list.begin() + 3);
    list.front().leaving = true;
    list.push_back(entry_of("engine-new"));
    domain.change(list);
    domain.run(milliseconds(700));
    CHECK(domain.all_agree());
    CHECK(domain.whole_reads == 1);
    CHECK(domain.fetches == 0);
}

TEST_CASE(
    "a leaving endpoint is known within the limit when the reader dies or freezes, whenever that happens")
{
    // The reader ends at any time between two of its reports, and the sign appears right after that.
    for (int offset = 0; offset < 30; ++offset) {
        for (const std::size_t size : {2UL, 3UL, 14UL, 30UL}) {
            INFO("size " << size << ", offset " << offset);
            domain_simulation domain(size);
            domain.run(seconds(5));
            domain.readers.clear();
            domain.run(milliseconds(1'200));
            REQUIRE(domain.readers.size() == 1);
            domain.run(milliseconds(50 * offset));
            domain.silent.insert(domain.reader());
            auto list = domain.list;
            list[4].leaving = true;
            domain.change(list);
            domain.run(leaving_limit);
            CHECK(domain.all_agree());
        }
    }
}

TEST_CASE("a reader that was frozen takes the newer list and does not bring its old one back")
{
    domain_simulation domain(5);
    domain.run(seconds(5));
    domain.readers.clear();
    domain.run(seconds(1));
    const auto frozen = domain.reader();
    domain.silent.insert(frozen);
    auto list = domain.list;
    list[4].leaving = true;
    domain.change(list);
    domain.run(seconds(4));
    REQUIRE(domain.all_agree());
    // What it was about to send when it froze.
    const peer::instance_changes old =
        domain.shares[frozen].reply(domain.now, domain.shares[frozen].request());
    domain.silent.clear();
    for (std::size_t index = 0; index < 5; ++index) {
        if (index != frozen)
            CHECK(domain.shares[index].receive(domain.now, domain.random, old) == receipt::stale);
    }
    domain.run(seconds(3));
    CHECK(domain.all_agree());
}

TEST_CASE("a member that lost reports fetches the missing steps only, and all agree in the end")
{
    domain_simulation domain(14);
    domain.run(seconds(3));
    domain.reset_counts();
    domain.loss_percent = 20;
    for (int round = 0; round < 40; ++round) {
        auto list = domain.list;
        list[static_cast<std::size_t>(round) % list.size()].capacity += 1;
        domain.change(list);
        domain.run(seconds(1));
    }
    CHECK(domain.fetches > 0);
    CHECK(domain.fetched_whole == 0);
    domain.loss_percent = 0;
    domain.run(seconds(3));
    CHECK(domain.all_agree());
}

TEST_CASE("a platform without tags is read whole by one process only")
{
    domain_simulation domain(14, false);
    domain.run(seconds(3));
    domain.reset_counts();
    domain.run(seconds(30));
    CHECK(domain.readers.size() == 1);
    CHECK(domain.unchanged_reads == 0);
    auto list = domain.list;
    list[4].leaving = true;
    domain.change(list);
    domain.run(leaving_limit);
    CHECK(domain.all_agree());
}

TEST_CASE("members go on trying while the platform is away and keep their list")
{
    domain_simulation domain(5);
    domain.run(seconds(3));
    domain.is_down = true;
    domain.run(seconds(20));
    CHECK(domain.failed_reads > 0);
    CHECK(domain.all_agree());
    domain.is_down = false;
    auto list = domain.list;
    list[4].leaving = true;
    domain.change(list);
    domain.run(leaving_limit);
    CHECK(domain.all_agree());
}

TEST_CASE(
    "a process without a list gets the whole one from a peer, with the time until leaving counted from now")
{
    std::mt19937_64 random(1);
    const monotonic_time start{seconds(10)};
    instance_share source(instance_share_options{}, instance_id("entry-1"));
    CHECK(source.reply(start, {}).version == 0);
    auto list = list_of(3);
    list[1].leaving = true;
    list[1].leaves_in = milliseconds(30'000);
    REQUIRE(source.list_read(start, random, unix_start, list, "tag"));
    // The list is the same although the time until leaving went on.
    list[1].leaves_in = milliseconds(29'000);
    CHECK(source.list_read(start + seconds(1), random, unix_start + 1'000, list, ""));
    CHECK(source.version() == unix_start);

    instance_share joined(instance_share_options{}, instance_id("entry-2"));
    const auto answer = source.reply(start + seconds(10), joined.request());
    CHECK(answer.whole);
    CHECK(joined.receive(start + seconds(10), random, answer) == receipt::applied);
    CHECK(joined.entries(start + seconds(12))[1].leaves_in == milliseconds(18'000));
    CHECK(joined.digest() == source.digest());
}

TEST_CASE("changes whose result has another digest are not trusted, and the whole list is fetched")
{
    std::mt19937_64 random(1);
    const monotonic_time start{seconds(10)};
    instance_share source(instance_share_options{}, instance_id("entry-1"));
    instance_share other(instance_share_options{}, instance_id("entry-2"));
    REQUIRE(source.list_read(start, random, unix_start, list_of(3), "one"));
    REQUIRE(other.list_read(start, random, unix_start, list_of(3), "one"));
    auto changes = source.list_read(start, random, unix_start + 1, list_of(4), "two");
    REQUIRE(changes);
    auto damaged = *changes;
    damaged.put.front().capacity = 99;
    CHECK(other.receive(start, random, damaged) == receipt::missing);
    CHECK(other.tag().empty());
    const auto answer = source.reply(start, other.request());
    CHECK(answer.whole);
    CHECK(other.receive(start, random, answer) == receipt::applied);
    CHECK(other.entries(start) == source.entries(start));
}

TEST_CASE("an answer about an older tag says nothing about a list that was replaced during the read")
{
    std::mt19937_64 random(1);
    const monotonic_time start{seconds(10)};
    instance_share share(instance_share_options{}, instance_id("entry-1"));
    REQUIRE(share.list_read(start, random, unix_start, list_of(3), "two"));
    CHECK_FALSE(share.list_unchanged(start + seconds(5), random, "one"));
    CHECK(share.list_unchanged(start + seconds(5), random, "two"));
}

} // namespace siskinwharf::membership
