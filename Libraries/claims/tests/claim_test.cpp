#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "claim_driver.h"
#include "siskinwharf/claims/claim_cleanup.h"
#include "siskinwharf/claims/release_token.h"

namespace siskinwharf::claims {

namespace {

const claim_identity identity{account_id("bakery"), "order-17"};
const std::string signing_key = "test key";

claim make_claim(attempt_number attempt, std::string token = {}, std::string digest = "d")
{
    return claim(
        {identity, attempt, "10.0.0." + std::to_string(attempt), std::move(digest), std::move(token)},
        signing_key);
}

} // namespace

TEST_CASE("rows survive an encoding round trip, also with bodies that are not valid JSON strings")
{
    for (const std::string& body :
         {std::string("{\"a\":1}"), std::string("\xff\x00\x80", 3), std::string("\n\0", 2)}) {
        const claim_row row{claim_state::done, ~attempt_number{0}, "10.0.0.1:70", "d",
                            make_stored_response(201, "application/json", body)};
        CHECK(decode_claim_row(encode_claim_row(row)) == row);
    }
    const auto large = make_stored_response(200, "text/plain", std::string(maximum_stored_body + 1, 'x'));
    CHECK_FALSE(large.body);
    CHECK(large.digest.size() == 64);
}

TEST_CASE("a damaged row or one of a newer format version is an error and is never treated as absent")
{
    for (
        const std::string text :
        {"", "[]", "{}", R"({"v":2,"state":"void","attempt":1,"holder":"h","request_digest":"d"})",
         R"({"v":1,"state":"free","attempt":1,"holder":"h","request_digest":"d"})",
         R"({"v":1,"state":"void","attempt":-1,"holder":"h","request_digest":"d"})",
         R"({"v":1,"state":"done","attempt":1,"holder":"h","request_digest":"d"})",
         R"({"v":1,"state":"done","attempt":1,"holder":"h","request_digest":"d","response":{"status":1,"content_type":"","digest":"","body_hex":"0g"}})"}) {
        CHECK_THROWS_AS(decode_claim_row(text), claim_row_error);
        auto claim = make_claim(1);
        (void)claim.start();
        const cloud::table_row row{"k", text, 1};
        const auto action = claim.on_commit(cloud::table_conflict{{{0, row}}});
        CHECK(action == claim_action{refuse_call{outcome::unknown, refusal_reason::unreadable_row, {}}});
    }
}

TEST_CASE("a token releases only the attempts it was signed for")
{
    const std::string token = sign_release(signing_key, identity, {3, 9}, {});
    CHECK(verify_release(signing_key, identity, " " + token + " ,junk") == std::set<attempt_number>{3, 9});
    CHECK(verify_release("other", identity, token).empty());
    CHECK(verify_release(signing_key, {account_id("mill"), "order-17"}, token).empty());
    CHECK(verify_release(signing_key, {account_id("bakery"), "order-18"}, token).empty());
    std::string forged = token;
    forged[3] = '4';
    CHECK(verify_release(signing_key, identity, forged) == std::set<attempt_number>{9});
    std::set<attempt_number> many;
    for (attempt_number attempt = 1; attempt <= 40; ++attempt)
        many.insert(attempt);
    const auto kept =
        verify_release(signing_key, identity, sign_release(signing_key, identity, many, {38, 39}));
    CHECK(kept.size() == maximum_released_attempts);
    CHECK(kept.contains(38));
    CHECK(kept.contains(39));
}

TEST_CASE("the token of a second uncertain attempt also releases the first, because the row may name either")
{
    fake_table table;
    auto first = make_claim(1);
    (void)table.commit(first.start());
    (void)first.on_commit(cloud::table_uncertain{});
    const auto refusal = std::get<refuse_call>(first.give_up());
    auto second = make_claim(2, refusal.release_token);
    (void)second.on_commit(table.commit(second.start()));
    (void)second.on_commit(cloud::table_uncertain{});
    const auto again = std::get<refuse_call>(second.give_up());
    CHECK(again.result == outcome::not_run);
    CHECK(verify_release(signing_key, identity, again.release_token) == std::set<attempt_number>{1, 2});
}

TEST_CASE("a resend with a different body and the same key neither runs nor gets the stored response")
{
    fake_table table;
    auto first = make_claim(1);
    (void)table.commit(first.start());
    auto second = make_claim(2, {}, "other");
    const auto action = second.on_commit(table.commit(second.start()));
    CHECK(action == claim_action{refuse_call{outcome::not_run, refusal_reason::key_reused, {}}});
}

TEST_CASE("the cleanup retries the void row with back-off until the late write is blocked")
{
    fake_table table;
    auto claim = make_claim(1);
    const auto late = std::get<write_table>(claim.start()).write;
    (void)claim.on_commit(cloud::table_uncertain{});
    (void)claim.give_up();
    claim_cleanup cleanup({2, milliseconds{100}, milliseconds{400}});
    const monotonic_time start{};
    CHECK(cleanup.add(*claim.take_pending_final_write(), start));
    CHECK_FALSE(claim.take_pending_final_write());
    std::vector<long> tries;
    for (monotonic_time now = start; now <= start + seconds{2}; now += milliseconds{10}) {
        for (const auto& write : cleanup.due(now, 10)) {
            tries.push_back((now - start) / milliseconds{1});
            cleanup.on_result(write.attempt, cloud::table_unavailable{}, now);
        }
    }
    CHECK(tries == std::vector<long>{100, 300, 700, 1100, 1500, 1900});
    CHECK(cleanup.reply_to_peer(1) == holder_reply{holder_abandoned{}});
    // The late write takes effect just before the next retry, so the void row has to replace it.
    (void)table.apply(late);
    for (int round = 0; round < 2; ++round) {
        for (const auto& write : cleanup.due(start + seconds{3}, 10))
            cleanup.on_result(write.attempt, table.apply(write.write), start + seconds{3});
    }
    CHECK(cleanup.size() == 0);
    CHECK(decode_claim_row(table.row->value).state == claim_state::abandoned);
}

TEST_CASE("at most one attempt sends, and a call whose attempts all ended as not_run can be resent")
{
    // Each number of the script selects one step: which attempt acts, and which fault the table or the
    // connection has.
    const bool passed =
        rc::check("random faults and interleavings", [](const std::vector<std::uint8_t>& script) {
            fake_table table;
            std::map<attempt_number, attempt_run> runs;
            std::string token;
            for (attempt_number attempt = 1; attempt <= 3; ++attempt)
                runs.emplace(attempt, attempt_run(make_claim(attempt)));
            attempt_number started = 0;
            for (const std::uint8_t step : script) {
                if (step % 8 == 7)
                    table.apply_late_write(step / 8);
                else if (step % 8 == 6 && started < 3) {
                    ++started;
                    runs.insert_or_assign(started, attempt_run(make_claim(started, token)));
                } else if (started > 0)
                    runs.at(1 + step % started).step(table, runs, step / 8);
                unsigned sent = 0;
                for (auto& [attempt, run] : runs) {
                    sent += run.sent;
                    RC_ASSERT(!(run.refused_as(outcome::not_run) && run.sent > 0));
                    if (run.refused_as(outcome::not_run) && !run.token_taken) {
                        run.token_taken = true;
                        if (const auto& fresh = std::get<refuse_call>(run.action).release_token;
                            !fresh.empty())
                            token += (token.empty() ? "" : ",") + fresh;
                    }
                }
                RC_ASSERT(sent <= 1);
            }
            for (attempt_number attempt = 1; attempt <= started; ++attempt)
                RC_PRE(runs.at(attempt).refused_as(outcome::not_run));
            // No holder is reachable and the table works again: the release token alone must permit sending.
            attempt_run last(make_claim(4, token));
            while (!last.ended() && last.sent == 0)
                last.step_healthy(table);
            RC_ASSERT(last.sent == 1U);
        });
    CHECK(passed);
}

} // namespace siskinwharf::claims
