#include "siskinwharf/usage/report_scheduler.h"

#include <algorithm>

#include <fmt/format.h>

#include "siskinwharf/usage/usage_error.h"

namespace siskinwharf::usage {

namespace {

/// Number of stored reports that are kept, far more than can still be sent.
constexpr window_number kept_reports = 64;

std::string key_of(window_number window)
{
    return fmt::format("usage/{}", window);
}

} // namespace

std::optional<report_action> report_scheduler::next(wall_time now, const usage_ledger& ledger,
                                                    const std::vector<account_id>& accounts,
                                                    wall_time counts_received_until,
                                                    wall_time store_complete_since)
{
    const auto since_epoch = now.time_since_epoch();
    // The newest window whose counts are complete or whose settle time has passed, and the oldest window
    // whose report is not overdue.
    const auto complete_until =
        std::max(since_epoch - m_times.settle_time, counts_received_until.time_since_epoch());
    const window_number newest = complete_until / m_times.window - 1;
    const window_number oldest = (since_epoch - m_times.due) / m_times.window;
    std::erase_if(m_windows, [&](const auto& item) { return item.first < oldest - kept_reports; });
    for (auto window = oldest; window <= newest; ++window) {
        auto& state = m_windows[window];
        if (state.next == step::read)
            return read_report{window, key_of(window)};
        if (state.next == step::send)
            return send_report{window, state.counts};
        if (state.next == step::done)
            continue;
        if ((window + 1) * m_times.window <= store_complete_since.time_since_epoch()) {
            if (!state.is_absent)
                return read_report{window, key_of(window)};
            state.next = step::done;
            continue;
        }
        state.counts.clear();
        for (const auto& account : accounts)
            state.counts[account] = 0;
        for (const auto& [account, count] : ledger.total(window))
            state.counts[account] = count;
        cloud::table_transaction transaction;
        transaction.writes.push_back({key_of(window), encode(state.counts), cloud::require_absent{}});
        transaction.writes.push_back({key_of(window - kept_reports), std::nullopt, cloud::unconditional{}});
        return store_report{window, std::move(transaction)};
    }
    return std::nullopt;
}

void report_scheduler::stored(window_number window, const cloud::commit_result& result)
{
    auto& state = m_windows[window];
    if (std::holds_alternative<cloud::table_committed>(result))
        state.next = step::send;
    else if (!std::holds_alternative<cloud::table_unavailable>(result))
        state.next = step::read; // Stored by another process, or by this one if the answer was lost.
}

void report_scheduler::read(window_number window, const cloud::read_result& result)
{
    auto& state = m_windows[window];
    const auto* row = std::get_if<std::optional<cloud::table_row>>(&result);
    if (row == nullptr)
        return;
    if (!*row) {
        // A write whose answer was lost may still take effect. The next write then fails with a conflict.
        state.next = step::store;
        state.is_absent = true;
        return;
    }
    try {
        state.counts = decode_counts((*row)->value);
        state.next = step::send;
    } catch (const usage_error&) {
        // It is unknown what was sent for this window, so nothing else may be sent.
        state.next = step::done;
    }
}

void report_scheduler::restart()
{
    std::erase_if(m_windows, [](const auto& item) {
        return item.second.next == step::store || item.second.next == step::read;
    });
}

void report_scheduler::sent(window_number window, bool is_accepted)
{
    if (is_accepted)
        m_windows[window].next = step::done;
}

} // namespace siskinwharf::usage
