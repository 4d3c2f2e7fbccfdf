#include <catch2/catch.hpp>

#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <sstream>

#include "claim_driver.h"
#include "siskinwharf/claims/claim_cleanup.h"
#include "siskinwharf/claims/release_token.h"

namespace siskinwharf::claims {

namespace {

const claim_identity identity{account_id("bakery"), "order-17"};
constexpr attempt_number own_attempt = 2;
constexpr attempt_number other_attempt = 1;
constexpr attempt_number released_attempt = 3;

/// One row of the state transition table in docs/claims.md.
struct documented_transition {
    std::string transition, phase, event, action, next;
};

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(' ');
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::vector<documented_transition> read_transition_table()
{
    std::ifstream page(SISKINWHARF_SOURCE_DIR "/docs/claims.md");
    std::vector<documented_transition> rows;
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with("| ") || line.starts_with("| transition"))
            continue;
        std::istringstream cells(line.substr(1));
        std::vector<std::string> values;
        for (std::string cell; std::getline(cells, cell, '|');)
            values.push_back(trim(cell));
        rows.push_back({values.at(0), values.at(1), values.at(2), values.at(3), values.at(4)});
    }
    return rows;
}

/// Returns the table row that the transition table refers to by this name.
std::optional<cloud::table_row> make_named_row(const std::string& name)
{
    const auto make = [](claim_state state, attempt_number attempt) {
        claim_row row{state, attempt, "h", "d", std::nullopt};
        if (state == claim_state::done)
            row.response = make_stored_response(200, "text/plain", "ok");
        return cloud::table_row{"k", encode_claim_row(row), 5};
    };
    if (name == "absent")
        return std::nullopt;
    if (name == "unreadable")
        return cloud::table_row{"k", "?", 5};
    static const std::map<std::string, std::pair<claim_state, attempt_number>> rows{
        {"own", {claim_state::held, own_attempt}},
        {"own void", {claim_state::abandoned, own_attempt}},
        {"other", {claim_state::held, other_attempt}},
        {"released", {claim_state::held, released_attempt}},
        {"void", {claim_state::abandoned, other_attempt}},
        {"done", {claim_state::done, other_attempt}},
        {"unknown", {claim_state::unknown, other_attempt}},
    };
    const auto [state, attempt] = rows.at(name);
    return make(state, attempt);
}

/// Passes an event of the transition table to the claim.
claim_action apply(claim& machine, const std::string& event)
{
    using namespace cloud;
    const auto phase = machine.current_phase();
    if (event.starts_with("row ")) {
        const auto row = make_named_row(event.substr(4));
        if (phase == claim::phase::reading_back)
            return machine.on_read(row);
        return machine.on_commit(table_conflict{{{0, row}}});
    }
    if (event == "unavailable" && phase == claim::phase::reading_back) {
        claim_action action = machine.on_read(table_unavailable{});
        while (std::holds_alternative<read_table>(action))
            action = machine.on_read(table_unavailable{});
        return action;
    }
    const auto response = make_stored_response(200, "text/plain", "ok");
    const std::map<std::string, std::function<claim_action()>> events{
        {"start",
         [&] {
             return machine.start();
         }},
        {"committed",
         [&] {
             return machine.on_commit(table_committed{});
         }},
        {"unavailable",
         [&] {
             return machine.on_commit(table_unavailable{});
         }},
        {"uncertain",
         [&] {
             return machine.on_commit(table_uncertain{});
         }},
        {"give up",
         [&] {
             return machine.give_up();
         }},
        {"not sent",
         [&] {
             return machine.on_not_sent();
         }},
        {"finished",
         [&] {
             return machine.on_finished(response);
         }},
        {"broken",
         [&] {
             return machine.on_connection_broken();
         }},
        {"holder running",
         [&] {
             return machine.on_holder_reply(holder_running{});
         }},
        {"holder abandoned",
         [&] {
             return machine.on_holder_reply(holder_abandoned{});
         }},
        {"holder done",
         [&] {
             return machine.on_holder_reply(holder_done{response});
         }},
        {"holder unknown",
         [&] {
             return machine.on_holder_reply(holder_unknown{});
         }},
    };
    return events.at(event)();
}

/// Returns a claim that was brought into this phase.
claim make_claim_in_phase(const std::string& phase, std::string token)
{
    static const std::map<std::string, std::vector<std::string>> paths{
        {"created", {}},
        {"claiming", {"start"}},
        {"reading_back", {"start", "uncertain"}},
        {"voiding", {"start", "uncertain", "row absent"}},
        {"asking", {"start", "row other"}},
        {"sending", {"start", "committed"}},
        {"storing", {"start", "committed", "finished"}},
        {"ended", {"start", "give up"}},
    };
    claim machine({identity, own_attempt, "h", "d", std::move(token)}, "key");
    for (const auto& event : paths.at(phase))
        (void)apply(machine, event);
    return machine;
}

std::string stored_state_name(const std::string& value)
{
    constexpr std::array<const char*, 4> names{"held", "void", "done", "unknown"};
    return names.at(static_cast<std::size_t>(decode_claim_row(value).state));
}

std::string describe_write(const cloud::table_write& write)
{
    const bool insert = std::holds_alternative<cloud::require_absent>(write.condition);
    return "write " + stored_state_name(*write.value) + (insert ? " if absent" : " if version");
}

/// Returns the action in the notation of the transition table.
std::string describe(const claim_action& action)
{
    if (const auto* write = std::get_if<write_table>(&action))
        return describe_write(write->write);
    if (const auto* refusal = std::get_if<refuse_call>(&action)) {
        const bool releases_own =
            verify_release("key", identity, refusal->release_token).contains(own_attempt);
        return "refuse " + std::string(to_string(refusal->result)) + (releases_own ? " with token" : "");
    }
    constexpr std::array<const char*, 8> names{"nothing",    "", "read",          "may send",
                                               "ask holder", "", "return stored", "settled"};
    return names.at(action.index());
}

/// Passes a conflict with the named row to the background retry and returns its next write.
std::string run_cleanup(claim& machine, const std::string& row)
{
    claim_cleanup cleanup({});
    (void)cleanup.add(*machine.take_pending_final_write(), {});
    const monotonic_time now = monotonic_time{} + seconds{1};
    cleanup.on_result(cleanup.due(now, 1).at(0).attempt, cloud::table_conflict{{{0, make_named_row(row)}}},
                      now);
    const auto next = cleanup.due(now, 1);
    return next.empty() ? "nothing" : describe_write(next.front().write);
}

} // namespace

TEST_CASE("the claim follows each row of the transition table in docs/claims.md")
{
    const auto rows = read_transition_table();
    REQUIRE(rows.size() > 30);
    const std::string token = sign_release("key", identity, {released_attempt}, {});
    for (const auto& row : rows) {
        INFO(row.phase << " / " << row.event);
        claim machine = make_claim_in_phase(row.phase, token);
        REQUIRE(to_string(machine.current_phase()) == row.phase);
        if (row.event.starts_with("cleanup row ")) {
            CHECK(run_cleanup(machine, row.event.substr(12)) == row.action);
            continue;
        }
        const bool had_ended = row.phase == "ended";
        std::string action = describe(apply(machine, row.event));
        CHECK(to_string(machine.current_phase()) == row.next);
        const auto final_write = had_ended ? std::nullopt : machine.take_pending_final_write();
        if (final_write)
            action += ", background " + stored_state_name(encode_claim_row(final_write->row));
        CHECK(action == row.action);
    }
}

TEST_CASE("the transition table in docs/claims.md and the Promela model list the same transitions")
{
    std::set<std::string> documented;
    for (const auto& row : read_transition_table()) {
        if (row.transition != "-")
            documented.insert(row.transition);
    }
    std::ifstream file(SISKINWHARF_SOURCE_DIR "/Models/claim.pml");
    const std::string model{std::istreambuf_iterator<char>(file), {}};
    const std::string mark = "/* transition ";
    std::set<std::string> modeled;
    for (auto at = model.find(mark); at != std::string::npos; at = model.find(mark, at + 1))
        modeled.insert(model.substr(at + mark.size(), model.find(" */", at) - at - mark.size()));
    CHECK(documented == modeled);
}

} // namespace siskinwharf::claims
