#include "siskinwharf/usage/usage_ledger.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "siskinwharf/usage/usage_error.h"

namespace siskinwharf::usage {

namespace {

void raise_to(window_counts& known, const window_counts& counts)
{
    for (const auto& [account, count] : counts) {
        auto& value = known[account];
        value = std::max(value, count);
    }
}

/// Adds the counts of all sources in one window.
template<typename Sources>
void add_all(const Sources& sources, window_counts& sum)
{
    for (const auto& [source, counts] : sources) {
        for (const auto& [account, count] : counts)
            sum[account] += count;
    }
}

} // namespace

void usage_ledger::add(const account_id& account, window_number window)
{
    ++m_windows[window][m_own][account];
}

void usage_ledger::merge(const usage_entry& entry)
{
    const process_key key{entry.process, entry.start};
    if (key == m_own)
        return;
    raise_to(m_windows[entry.window][key], entry.counts);
}

void usage_ledger::merge_domain(const failure_domain_id& domain, const usage_entry& sum)
{
    raise_to(m_domains[sum.window][domain], sum.counts);
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
    if (const auto found = m_windows.find(window); found != m_windows.end())
        add_all(found->second, sum);
    if (const auto found = m_domains.find(window); found != m_domains.end())
        add_all(found->second, sum);
    return sum;
}

std::vector<usage_entry> usage_ledger::domain_entries(window_number first) const
{
    std::vector<usage_entry> entries;
    for (auto window = m_windows.lower_bound(first); window != m_windows.end(); ++window) {
        usage_entry entry{m_own.first, m_own.second, window->first, {}};
        add_all(window->second, entry.counts);
        entries.push_back(std::move(entry));
    }
    return entries;
}

void usage_ledger::forget(window_number current)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(current - kept_windows));
    m_domains.erase(m_domains.begin(), m_domains.lower_bound(current - kept_windows));
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
