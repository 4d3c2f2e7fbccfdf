#include "siskinwharf/sheet/sheet_difference.h"

#include <algorithm>
#include <map>
#include <tuple>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "columns.h"
#include "csv.h"

namespace siskinwharf::sheet {

namespace {

auto key_of(const region_entry& entry)
{
    return entry.region;
}

auto key_of(const domain_entry& entry)
{
    return entry.domain;
}

auto key_of(const model_entry& entry)
{
    return std::tuple(entry.model, entry.version);
}

auto key_of(const service_entry& entry)
{
    return entry.service;
}

auto key_of(const account_entry& entry)
{
    return entry.account;
}

auto key_of(const grant_entry& entry)
{
    return std::tuple(entry.account, entry.target, entry.regions);
}

template<typename Entry>
entry_difference<Entry> compare(const std::vector<Entry>& old_entries, const std::vector<Entry>& new_entries)
{
    std::map<decltype(key_of(std::declval<const Entry&>())), Entry> remaining;
    for (const Entry& entry : old_entries)
        remaining.emplace(key_of(entry), entry);
    entry_difference<Entry> difference;
    for (const Entry& entry : new_entries) {
        const auto old_entry = remaining.find(key_of(entry));
        if (old_entry == remaining.end()) {
            difference.added.push_back(entry);
            continue;
        }
        if (old_entry->second != entry)
            difference.changed.emplace_back(old_entry->second, entry);
        remaining.erase(old_entry);
    }
    for (const auto& [key, entry] : remaining)
        difference.removed.push_back(entry);
    return difference;
}

std::string row_line(char sign, const row_cells& cells)
{
    std::string line{sign, ' '};
    append_csv(line, cells);
    line.pop_back();
    return line;
}

std::string change_line(const row_cells& old_cells, const row_cells& new_cells)
{
    std::vector<std::string> key;
    std::vector<std::string> changes;
    for (std::size_t index = 0; index < column_names.size(); ++index) {
        const auto which = static_cast<column>(index);
        if (old_cells[index] != new_cells[index]) {
            changes.push_back(
                fmt::format("{} {} -> {}", column_names[index], old_cells[index], new_cells[index]));
        } else if (!old_cells[index].empty() && (which <= column::version)) {
            key.push_back(old_cells[index]);
        }
    }
    return fmt::format("~ {}: {}", fmt::join(key, " "), fmt::join(changes, ", "));
}

template<typename Entry>
void append_lines(std::vector<std::string>& lines, const entry_difference<Entry>& difference)
{
    for (const Entry& entry : difference.removed)
        lines.push_back(row_line('-', to_cells(entry)));
    for (const Entry& entry : difference.added)
        lines.push_back(row_line('+', to_cells(entry)));
    for (const auto& [old_entry, new_entry] : difference.changed)
        lines.push_back(change_line(to_cells(old_entry), to_cells(new_entry)));
}

} // namespace

bool sheet_difference::empty() const
{
    return regions.empty() && domains.empty() && models.empty() && services.empty() && accounts.empty() &&
           grants.empty() && old_spend_cents_per_hour == new_spend_cents_per_hour;
}

sheet_difference compare_sheets(const sheet& old_sheet, const sheet& new_sheet)
{
    sheet old_sorted = old_sheet;
    sheet new_sorted = new_sheet;
    sort_entries(old_sorted);
    sort_entries(new_sorted);
    return {.regions = compare(old_sorted.regions, new_sorted.regions),
            .domains = compare(old_sorted.domains, new_sorted.domains),
            .models = compare(old_sorted.models, new_sorted.models),
            .services = compare(old_sorted.services, new_sorted.services),
            .accounts = compare(old_sorted.accounts, new_sorted.accounts),
            .grants = compare(old_sorted.grants, new_sorted.grants),
            .old_spend_cents_per_hour = old_sheet.spend_cents_per_hour,
            .new_spend_cents_per_hour = new_sheet.spend_cents_per_hour};
}

std::vector<std::string> to_lines(const sheet_difference& difference)
{
    std::vector<std::string> lines;
    append_lines(lines, difference.regions);
    append_lines(lines, difference.domains);
    append_lines(lines, difference.models);
    append_lines(lines, difference.services);
    append_lines(lines, difference.accounts);
    append_lines(lines, difference.grants);
    if (difference.old_spend_cents_per_hour != difference.new_spend_cents_per_hour) {
        lines.push_back(change_line(spend_cells(difference.old_spend_cents_per_hour),
                                    spend_cells(difference.new_spend_cents_per_hour)));
    }
    return lines;
}

} // namespace siskinwharf::sheet
