#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "columns.h"
#include "csv.h"
#include "siskinwharf/sheet/parse_sheet.h"

namespace siskinwharf::sheet {

namespace {

row_cells make_cells(std::string_view kind, const std::string& name)
{
    row_cells cells(column_names.size());
    cells[static_cast<std::size_t>(column::kind)] = kind;
    cells[static_cast<std::size_t>(column::name)] = name;
    return cells;
}

std::string& cell(row_cells& cells, column which)
{
    return cells[static_cast<std::size_t>(which)];
}

std::string join(const std::vector<std::string>& values)
{
    return fmt::format("{}", fmt::join(values, std::string_view(&list_separator, 1)));
}

template<typename Entry>
void append_rows(std::string& text, const std::vector<Entry>& entries)
{
    for (const Entry& entry : entries)
        append_csv(text, to_cells(entry));
}

template<typename Value>
void sort_values(std::vector<Value>& values)
{
    std::sort(values.begin(), values.end());
}

} // namespace

row_cells to_cells(const region_entry& entry)
{
    row_cells cells = make_cells("region", entry.region.value());
    cell(cells, column::egress_cents_per_gigabyte) = fmt::format("{}", entry.egress_cents_per_gigabyte);
    return cells;
}

row_cells to_cells(const domain_entry& entry)
{
    row_cells cells = make_cells("domain", entry.domain.value());
    cell(cells, column::regions) = entry.region.value();
    cell(cells, column::spend_percent) = fmt::format("{}", entry.spend_percent);
    return cells;
}

row_cells to_cells(const model_entry& entry)
{
    row_cells cells = make_cells("model", entry.model.value());
    cell(cells, column::version) = entry.version;
    cell(cells, column::adapters) = join(entry.adapters);
    cell(cells, column::fencing) = entry.fencing == fencing_support::checked ? "checked" : "ignored";
    cell(cells, column::minimum_replicas) = fmt::format("{}", entry.minimum_replicas);
    return cells;
}

row_cells to_cells(const service_entry& entry)
{
    row_cells cells = make_cells("service", entry.service.value());
    cell(cells, column::non_idempotent_prefixes) = join(entry.non_idempotent_prefixes);
    return cells;
}

row_cells to_cells(const account_entry& entry)
{
    row_cells cells = make_cells("account", entry.account.value());
    cell(cells, column::key_digests) = join(entry.key_digests);
    cell(cells, column::share) = fmt::format("{}", entry.share);
    return cells;
}

row_cells to_cells(const grant_entry& entry)
{
    row_cells cells = make_cells("grant", entry.account.value());
    std::vector<std::string> regions;
    regions.reserve(entry.regions.size());
    for (const region_id& region : entry.regions)
        regions.push_back(region.value());
    cell(cells, column::target) = entry.target;
    cell(cells, column::regions) = join(regions);
    cell(cells, column::first_token_ms) = fmt::format("{}", entry.first_token.count());
    cell(cells, column::between_tokens_ms) = fmt::format("{}", entry.between_tokens.count());
    return cells;
}

row_cells spend_cells(std::uint64_t cents_per_hour)
{
    row_cells cells = make_cells("spend", "");
    cell(cells, column::cents_per_hour) = fmt::format("{}", cents_per_hour);
    return cells;
}

void sort_entries(sheet& value)
{
    for (model_entry& entry : value.models)
        sort_values(entry.adapters);
    for (service_entry& entry : value.services)
        sort_values(entry.non_idempotent_prefixes);
    for (account_entry& entry : value.accounts)
        sort_values(entry.key_digests);
    for (grant_entry& entry : value.grants)
        sort_values(entry.regions);
    sort_values(value.regions);
    sort_values(value.domains);
    sort_values(value.models);
    sort_values(value.services);
    sort_values(value.accounts);
    sort_values(value.grants);
}

std::string render_sheet(const sheet& value)
{
    sheet sorted = value;
    sort_entries(sorted);
    std::string text = fmt::format("{}\n", fmt::join(column_names, ","));
    append_rows(text, sorted.regions);
    append_rows(text, sorted.domains);
    append_rows(text, sorted.models);
    append_rows(text, sorted.services);
    append_rows(text, sorted.accounts);
    append_rows(text, sorted.grants);
    append_csv(text, spend_cells(sorted.spend_cents_per_hour));
    return text;
}

} // namespace siskinwharf::sheet
