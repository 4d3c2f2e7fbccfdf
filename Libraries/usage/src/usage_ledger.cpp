#include "siskinwharf/usage/usage_ledger.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "siskinwharf/usage/usage_error.h"

namespace siskinwharf::usage {

void usage_ledger::add(const account_id& account, window_number window)
{
    ++m_windows[window][m_own][account];
}

void usage_ledger::merge(const usage_entry& entry)
{
    const process_key key{entry.process, entry.start};
    if (key == m_own)
        return;
    auto& known = m_windows[entry.window][key];
    for (const auto& [account, count] : entry.counts) {
        auto& value = known[account];
        value = std::max(value, count);
    }
}

std::vector<usage_entry> usage_ledger::own_entries(window_number first) const
{
    std::vector<usage_entry> entries;
    for (auto window = m_windows.lower_bound(first); window != m_windows.end(); ++window) {
        if (const auto own = window->second.find(m_own); own != window->second.end())
            entries.push_back({m_own.first, m_own.second, window->first, own->second});
    }
    return entries;
}

window_counts usage_ledger::total(window_number window) const
{
    window_counts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return sum;
    for (const auto& [process, counts] : found->second) {
        for (const auto& [account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

void usage_ledger::forget(window_number current)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(current - kept_windows));
}

std::string encode(const window_counts& counts)
{
    std::string text;
    for (const auto& [account, count] : counts) {
        if (!text.empty())
            text.push_back(',');
        text += fmt::format("{}={}", account.value(), count);
    }
    return text;
}

window_counts decode_counts(std::string_view text)
{
    window_counts counts;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        const auto pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals = pair.rfind('=');
        if (equals == std::string_view::npos)
            throw usage_error("usage counts without a number");
        std::uint64_t count = 0;
        const auto digits = pair.substr(equals + 1);
        const auto [last, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
        if (error != std::errc{} || last != digits.data() + digits.size())
            throw usage_error("usage counts with an invalid number");
        counts[account_id(std::string(pair.substr(0, equals)))] = count;
    }
    return counts;
}

} // namespace siskinwharf::usage
