#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "siskinwharf/claims/claim.h"

namespace siskinwharf::claims {

/// Fake table with a single row, and with writes that were sent but have not taken effect yet.
struct fake_table {
    std::optional<cloud::table_row> row;
    std::vector<cloud::table_write> late_writes;

    cloud::commit_result apply(const cloud::table_write& write)
    {
        const auto* version = std::get_if<cloud::require_version>(&write.condition);
        if (version == nullptr ? row.has_value() : !row || row->version != version->version)
            return cloud::table_conflict{{{0, row}}};
        row = cloud::table_row{write.key, *write.value, row ? row->version + 1 : 1};
        return cloud::table_committed{};
    }

    cloud::commit_result commit(const claim_action& action)
    {
        return apply(std::get<write_table>(action).write);
    }

    /// Applies one of the delayed writes. `index` selects it, modulo their number.
    void apply_late_write(std::size_t index)
    {
        if (late_writes.empty())
            return;
        const auto chosen = late_writes.begin() + static_cast<std::ptrdiff_t>(index % late_writes.size());
        (void)apply(*chosen);
        late_writes.erase(chosen);
    }
};

/// Executes the actions of one claim step by step. Each step takes a number that selects the fault to inject.
struct attempt_run {
    explicit attempt_run(claim started) : machine(std::move(started)) {}

    claim machine;
    claim_action action = no_action{};
    unsigned sent = 0; ///< Number of times the request was sent.
    bool token_taken = false;

    [[nodiscard]] bool ended() const { return machine.current_phase() == claim::phase::ended; }
    [[nodiscard]] bool refused_as(outcome result) const
    {
        const auto* refusal = std::get_if<refuse_call>(&action);
        return refusal != nullptr && refusal->result == result;
    }

    void step(fake_table& table, const std::map<attempt_number, attempt_run>& runs, unsigned fault)
    {
        if (ended())
            return;
        if (const auto* ask = std::get_if<ask_holder>(&action)) {
            const auto peer = runs.find(ask->attempt);
            const bool reachable = fault % 4 != 3 && peer != runs.end();
            action = machine.on_holder_reply(reachable ? peer->second.machine.reply_to_peer()
                                                       : holder_reply{holder_unknown{}});
        } else if (std::holds_alternative<may_send>(action)) {
            end_send(fault % 3);
        } else if (fault % 16 == 15 && !std::holds_alternative<no_action>(action)) {
            action = machine.give_up();
        } else if (const auto* write = std::get_if<write_table>(&action)) {
            action = machine.on_commit(commit(table, write->write, fault % 5));
        } else if (std::holds_alternative<read_table>(action)) {
            action = machine.on_read(fault % 2 == 0 ? cloud::read_result{table.row}
                                                    : cloud::read_result{cloud::table_unavailable{}});
        } else {
            action = machine.start();
        }
    }

    /// Executes the next action without a fault and without reachable holders.
    void step_healthy(fake_table& table) { step(table, {}, 0); }

private:
    void end_send(unsigned choice)
    {
        if (choice != 2)
            ++sent;
        if (choice == 0)
            action = machine.on_finished(make_stored_response(200, "text/plain", "ok"));
        else if (choice == 1)
            action = machine.on_connection_broken();
        else
            action = machine.on_not_sent();
    }

    static cloud::commit_result commit(fake_table& table, const cloud::table_write& write, unsigned fault)
    {
        if (fault < 2)
            return table.apply(write);
        if (fault == 2)
            return cloud::table_unavailable{};
        if (fault == 3)
            (void)table.apply(write);
        else
            table.late_writes.push_back(write);
        return cloud::table_uncertain{};
    }
};

} // namespace siskinwharf::claims
