#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/poll_schedule.h"
#include "siskinwharf/sheet/sheet_register.h"

namespace siskinwharf::sheet {

namespace {

constexpr monotonic_time start{seconds{100}};

std::string make_text(std::uint64_t spend)
{
    sheet value;
    value.regions.push_back({.region = region_id("ocho")});
    value.domains.push_back({.domain = failure_domain_id("ocho-a"), .region = region_id("ocho")});
    value.spend_cents_per_hour = spend;
    return render_sheet(value);
}

} // namespace

TEST_CASE("offers in any order leave the newest version in force")
{
    const bool holds = rc::check("newest wins", [] {
        sheet_register versions(start);
        std::uint64_t newest = 0;
        for (const auto version :
             *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(1UL, 9UL))) {
            const bool is_newer = version > newest;
            const auto outcome = versions.offer(version, make_text(version));
            RC_ASSERT(outcome == (is_newer ? offer_outcome::in_force : offer_outcome::not_newer));
            newest = std::max(newest, version);
            RC_ASSERT(versions.version() == newest);
            RC_ASSERT(versions.current()->value.spend_cents_per_hour == newest);
        }
    });
    CHECK(holds);
}

TEST_CASE("the versions before the last change of a model stay known until its next change")
{
    // Guards against a rollout that loses its old endpoints because an unrelated sheet follows.
    const auto text = [](const std::string& model_version, std::uint64_t spend) {
        sheet value = parse_sheet(make_text(spend));
        model_entry entry;
        entry.model = model_id("m");
        entry.version = model_version;
        value.models.push_back(entry);
        return render_sheet(value);
    };
    const model_id model("m");
    sheet_register versions(start);
    REQUIRE(versions.offer(1, text("v1", 1)) == offer_outcome::in_force);
    CHECK(versions.current()->serving_versions(model) == std::vector<std::string>{"v1"});
    REQUIRE(versions.offer(2, text("v2", 1)) == offer_outcome::in_force);
    REQUIRE(versions.offer(3, text("v2", 2)) == offer_outcome::in_force);
    CHECK(versions.current()->serving_versions(model) == std::vector<std::string>{"v2", "v1"});
    REQUIRE(versions.offer(4, text("v3", 2)) == offer_outcome::in_force);
    CHECK(versions.current()->serving_versions(model) == std::vector<std::string>{"v3", "v2"});
}

TEST_CASE("an invalid text changes nothing, and a wrong report is dropped")
{
    sheet_register versions(start);
    CHECK(versions.offer(1, make_text(1)) == offer_outcome::in_force);
    versions.note_peer_version(5);
    CHECK(versions.wanted_version() == 5);
    CHECK(versions.offer(5, "kind") == offer_outcome::invalid);
    CHECK(versions.version() == 1);
    versions.note_table_version(2);
    versions.drop_wanted(5);
    CHECK(versions.wanted_version() == 2);
    CHECK(versions.offer(2, make_text(2)) == offer_outcome::in_force);
    CHECK_FALSE(versions.wanted_version());
}

TEST_CASE("a starting process does not accept requests under a sheet that may be old")
{
    sheet_register versions(start);
    CHECK_FALSE(versions.is_ready(start + seconds{60}));
    versions.offer(3, make_text(3));
    CHECK_FALSE(versions.is_ready(start + seconds{1}));
    SECTION("the table confirms the version")
    {
        versions.note_table_version(3);
        CHECK(versions.is_ready(start + seconds{1}));
        versions.note_table_version(4);
        CHECK(versions.is_ready(start + seconds{1}));
    }
    SECTION("the table knows a newer one")
    {
        versions.note_table_version(4);
        CHECK_FALSE(versions.is_ready(start + seconds{1}));
        versions.offer(4, make_text(4));
        CHECK(versions.is_ready(start + seconds{1}));
    }
    SECTION("the table does not answer")
    {
        CHECK(versions.is_ready(start + sheet_register::start_grace));
    }
}

TEST_CASE("concurrent readers never see a version go back or a freed sheet")
{
    sheet_register versions(start);
    versions.offer(1, make_text(1));
    std::atomic<bool> is_done{false};
    std::atomic<int> faults{0};
    std::vector<std::jthread> readers;
    readers.reserve(3);
    for (int index = 0; index < 3; ++index) {
        readers.emplace_back([&versions, &is_done, &faults] {
            std::uint64_t last = 0;
            while (!is_done.load()) {
                const auto seen = versions.current();
                if (seen->version < last || seen->value.spend_cents_per_hour != seen->version)
                    ++faults;
                last = seen->version;
            }
        });
    }
    for (std::uint64_t version = 2; version < 500; ++version)
        versions.offer(version, make_text(version));
    is_done = true;
    readers.clear();
    CHECK(faults == 0);
    CHECK(versions.current()->version == 499);
}

TEST_CASE("polls keep to their limits, so that neither the table's budget nor P7 is exceeded")
{
    const bool holds = rc::check("poll limits", [] {
        monotonic_time now = start;
        poll_schedule schedule(now);
        const auto answers = *rc::gen::arbitrary<std::vector<bool>>();
        for (const bool is_answered : answers) {
            const auto random = *rc::gen::arbitrary<std::uint64_t>();
            if (is_answered)
                schedule.on_answer(now, random);
            else
                schedule.on_no_answer(now, random);
            RC_ASSERT(schedule.next() - now >= milliseconds{1800});
            RC_ASSERT(schedule.next() - now <= milliseconds{is_answered ? 2200 : 4400});
            const monotonic_time planned = schedule.next();
            schedule.expedite(now, random);
            const bool is_brought_forward = schedule.next() < now + milliseconds{200};
            RC_ASSERT((is_answered ? is_brought_forward : schedule.next() == planned));
            now = planned;
        }
    });
    CHECK(holds);
    poll_schedule schedule(start);
    schedule.on_no_answer(start, 0);
    CHECK(schedule.next() - start == milliseconds{1800});
    schedule.on_no_answer(start, 0);
    schedule.on_no_answer(start, 0);
    CHECK(schedule.next() - start == milliseconds{3600});
}

} // namespace siskinwharf::sheet
