#include <catch2/catch.hpp>

#include "siskinwharf/usage/report_scheduler.h"

namespace siskinwharf::usage {

namespace {

const std::vector<account_id> accounts{account_id("bakery"), account_id("cart")};

usage_ledger make_ledger()
{
    usage_ledger ledger(instance_id("a"), 1);
    ledger.add(account_id("bakery"), 100);
    return ledger;
}

/// A time at which the counts of window 100 have settled and no later ones.
constexpr wall_time settled{milliseconds(101 * 5'000 + 2'100)};

window_number window_of(const report_action& action)
{
    return std::visit([](const auto& value) { return value.window; }, action);
}

/// Marks the older windows as reported.
report_scheduler plan_from_100(const usage_ledger& ledger)
{
    report_scheduler plan(report_timing{});
    while (true) {
        const auto action = plan.next(settled, ledger, accounts);
        REQUIRE(action.has_value());
        if (window_of(*action) == 100)
            return plan;
        plan.stored(window_of(*action), cloud::table_committed{});
        plan.sent(window_of(*action), true);
    }
}

} // namespace

TEST_CASE("counts are stored before they are sent, with the accounts that sent nothing")
{
    const auto ledger = make_ledger();
    auto plan = plan_from_100(ledger);
    const auto store = std::get<store_report>(*plan.next(settled, ledger, accounts));
    REQUIRE(store.transaction.writes.size() == 2);
    CHECK(store.transaction.writes[0].value == "bakery=1,cart=0");
    plan.stored(100, cloud::table_committed{});
    const auto send = std::get<send_report>(*plan.next(settled, ledger, accounts));
    CHECK(send.counts == window_counts{{account_id("bakery"), 1}, {account_id("cart"), 0}});
    plan.sent(100, false);
    CHECK(std::holds_alternative<send_report>(*plan.next(settled, ledger, accounts)));
    plan.sent(100, true);
    CHECK_FALSE(plan.next(settled, ledger, accounts).has_value());
}

TEST_CASE("what another holder stored is sent instead of the own counts")
{
    const auto ledger = make_ledger();
    auto plan = plan_from_100(ledger);
    static_cast<void>(plan.next(settled, ledger, accounts));
    plan.stored(100, cloud::table_conflict{});
    REQUIRE(std::holds_alternative<read_report>(*plan.next(settled, ledger, accounts)));
    plan.read(100, std::optional(cloud::table_row{"usage/100", "bakery=7", 3}));
    const auto send = std::get<send_report>(*plan.next(settled, ledger, accounts));
    CHECK(send.counts == window_counts{{account_id("bakery"), 7}});
}

TEST_CASE("after a lost answer the row is read and not sent blindly")
{
    const auto ledger = make_ledger();
    auto plan = plan_from_100(ledger);
    static_cast<void>(plan.next(settled, ledger, accounts));
    plan.stored(100, cloud::table_uncertain{});
    CHECK(std::holds_alternative<read_report>(*plan.next(settled, ledger, accounts)));
    plan.read(100, cloud::table_unavailable{});
    CHECK(std::holds_alternative<read_report>(*plan.next(settled, ledger, accounts)));
    plan.read(100, std::optional<cloud::table_row>{});
    CHECK(std::holds_alternative<store_report>(*plan.next(settled, ledger, accounts)));
}

TEST_CASE("a report that cannot be read is never replaced by another one")
{
    const auto ledger = make_ledger();
    auto plan = plan_from_100(ledger);
    static_cast<void>(plan.next(settled, ledger, accounts));
    plan.stored(100, cloud::table_conflict{});
    plan.read(100, std::optional(cloud::table_row{"usage/100", "damaged", 3}));
    CHECK_FALSE(plan.next(settled, ledger, accounts).has_value());
}

TEST_CASE(
    "a window is reported when all processes were heard after its end, or when it is waited for no longer")
{
    // Guards against reports that lack what a frozen process, or one far away, had not told yet.
    constexpr milliseconds window{5'000};
    const usage_ledger ledger(instance_id("entry-1"), 1);
    const std::vector<account_id> accounts{account_id("bakery")};
    const wall_time end(window * 100);
    const auto is_reported = [&](milliseconds after_end, milliseconds heard) {
        report_scheduler plan(report_timing{window, milliseconds(10'000), milliseconds(6'000)});
        // The window before is overdue only 10 s after its end.
        bool found = false;
        while (const auto action = plan.next(end + after_end, ledger, accounts, end + heard)) {
            const auto* store = std::get_if<store_report>(&*action);
            found = found || (store != nullptr && store->window == 99);
            if (store != nullptr)
                plan.stored(store->window, cloud::table_committed{});
            else if (const auto* send = std::get_if<send_report>(&*action))
                plan.sent(send->window, true);
        }
        return found;
    };
    CHECK_FALSE(is_reported(milliseconds(900), milliseconds(-100)));
    CHECK(is_reported(milliseconds(900), milliseconds(100)));
    CHECK_FALSE(is_reported(milliseconds(5'900), milliseconds(-3'000)));
    CHECK(is_reported(milliseconds(6'000), milliseconds(-3'000)));
}

} // namespace siskinwharf::usage
