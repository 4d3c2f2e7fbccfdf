#include "siskinwharf/sheet/parse_sheet.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "columns.h"
#include "csv.h"
#include "draft.h"
#include "row_reader.h"

namespace siskinwharf::sheet {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

constexpr number_range egress_range{.lowest = 0, .highest = 100'000};
constexpr number_range percent_range{.lowest = 0, .highest = 100};
constexpr number_range replicas_range{.lowest = 0, .highest = 10'000};
constexpr number_range share_range{.lowest = 1, .highest = 1'000};
constexpr number_range latency_range{.lowest = 1, .highest = 600'000};
constexpr number_range spend_range{.lowest = 0, .highest = 1'000'000'000};

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

std::vector<region_id> to_regions(const std::vector<std::string>& names)
{
    std::vector<region_id> regions;
    regions.reserve(names.size());
    for (const std::string& name : names)
        regions.emplace_back(name);
    return regions;
}

void read_region(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only({column::name, column::egress_cents_per_gigabyte});
    rows.regions.push_back(
        {line,
         {.region = region_id(row.name(column::name)),
          .egress_cents_per_gigabyte = narrow(row.number(column::egress_cents_per_gigabyte, egress_range))}});
}

void read_domain(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only({column::name, column::regions, column::spend_percent});
    rows.domains.push_back({line,
                            {.domain = failure_domain_id(row.name(column::name)),
                             .region = region_id(row.name(column::regions)),
                             .spend_percent = narrow(row.number(column::spend_percent, percent_range))}});
}

fencing_support read_fencing(row_reader& row)
{
    const std::string_view text = row.cell(column::fencing);
    if (text != "checked" && text != "ignored")
        row.add_fault(column::fencing, text, "checked, ignored");
    return text == "ignored" ? fencing_support::ignored : fencing_support::checked;
}

void read_model(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only(
        {column::name, column::version, column::adapters, column::fencing, column::minimum_replicas});
    model_entry entry;
    entry.model = model_id(row.name(column::name));
    entry.version = row.name(column::version);
    entry.adapters = row.list(column::adapters, is_name, name_rule);
    entry.fencing = read_fencing(row);
    entry.minimum_replicas = narrow(row.number(column::minimum_replicas, replicas_range));
    rows.models.push_back({line, std::move(entry)});
}

void read_service(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only({column::name, column::non_idempotent_prefixes});
    rows.services.push_back(
        {line,
         {.service = service_id(row.name(column::name)),
          .non_idempotent_prefixes = row.list(column::non_idempotent_prefixes, is_prefix, prefix_rule)}});
}

void read_account(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only({column::name, column::key_digests, column::share});
    account_entry entry;
    entry.account = account_id(row.name(column::name));
    entry.key_digests = row.list(column::key_digests, is_digest, digest_rule);
    if (entry.key_digests.empty())
        row.add_fault(column::key_digests, "", "at least one digest");
    entry.share = narrow(row.number_or(column::share, share_range, entry.share));
    rows.accounts.push_back({line, std::move(entry)});
}

void read_grant(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only(
        {column::name, column::target, column::regions, column::first_token_ms, column::between_tokens_ms});
    grant_entry entry;
    const auto read_latency = [&row](column which, milliseconds default_value) {
        return milliseconds(
            row.number_or(which, latency_range, static_cast<std::uint64_t>(default_value.count())));
    };
    entry.account = account_id(row.name(column::name));
    entry.target = row.name(column::target);
    entry.regions = to_regions(row.list(column::regions, is_name, name_rule));
    if (entry.regions.empty())
        row.add_fault(column::regions, "", "at least one region");
    entry.first_token = read_latency(column::first_token_ms, entry.first_token);
    entry.between_tokens = read_latency(column::between_tokens_ms, entry.between_tokens);
    rows.grants.push_back({line, std::move(entry)});
}

void read_spend(row_reader& row, std::size_t line, draft& rows)
{
    row.allow_only({column::cents_per_hour});
    rows.spends.push_back({line, row.number(column::cents_per_hour, spend_range)});
}

struct row_kind {
    std::string_view name;
    void (*read)(row_reader&, std::size_t, draft&);
};

constexpr std::array row_kinds{
    row_kind{"region", read_region},   row_kind{"domain", read_domain},   row_kind{"model", read_model},
    row_kind{"service", read_service}, row_kind{"account", read_account}, row_kind{"grant", read_grant},
    row_kind{"spend", read_spend},
};

/// Spreadsheet programs write a row without content as separators only.
bool is_blank(const csv_record& record)
{
    return std::all_of(record.fields.begin(), record.fields.end(),
                       [](const std::string& field) { return field.empty(); });
}

void read_row(const csv_record& record, draft& rows, std::vector<sheet_fault>& faults)
{
    row_reader row(record, faults);
    const auto found = std::find_if(row_kinds.begin(), row_kinds.end(), [&row](const row_kind& kind) {
        return kind.name == row.cell(column::kind);
    });
    if (found == row_kinds.end()) {
        row.add_fault(column::kind, row.cell(column::kind),
                      "region, domain, model, service, account, grant, spend");
        return;
    }
    found->read(row, record.line, rows);
}

void check_size(std::string_view text)
{
    if (text.size() > max_sheet_bytes) {
        throw sheet_error({{.line = 0,
                            .field = {},
                            .found = fmt::format("{} bytes", text.size()),
                            .allowed = fmt::format("at most {} bytes", max_sheet_bytes)}});
    }
    if (const std::size_t offset = find_invalid_utf8(text); offset != std::string_view::npos) {
        const std::string_view before = text.substr(0, offset);
        const auto line = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
        throw sheet_error({{.line = line,
                            .field = {},
                            .found = fmt::format("byte 0x{:02X}", static_cast<unsigned char>(text[offset])),
                            .allowed = "UTF-8"}});
    }
}

/// Without the right header the columns of the rows are unknown, so no further check makes sense.
void check_header(const std::vector<csv_record>& records)
{
    const bool is_right =
        !records.empty() && std::equal(records.front().fields.begin(), records.front().fields.end(),
                                       column_names.begin(), column_names.end());
    if (!is_right) {
        const auto found =
            records.empty() ? std::string() : fmt::format("{}", fmt::join(records.front().fields, ","));
        throw sheet_error({{.line = 1,
                            .field = "header",
                            .found = printable(found),
                            .allowed = fmt::format("{}", fmt::join(column_names, ","))}});
    }
    if (records.size() > max_sheet_rows) {
        throw sheet_error({{.line = records[max_sheet_rows].line,
                            .field = {},
                            .found = fmt::format("{} rows", records.size()),
                            .allowed = fmt::format("at most {} rows", max_sheet_rows)}});
    }
}

template<typename Entry>
std::vector<Entry> entries_of(std::vector<located<Entry>>&& rows)
{
    std::vector<Entry> entries;
    entries.reserve(rows.size());
    for (auto& row : rows)
        entries.push_back(std::move(row.entry));
    return entries;
}

sheet to_sheet(draft&& rows)
{
    sheet value{.regions = entries_of(std::move(rows.regions)),
                .domains = entries_of(std::move(rows.domains)),
                .models = entries_of(std::move(rows.models)),
                .services = entries_of(std::move(rows.services)),
                .accounts = entries_of(std::move(rows.accounts)),
                .grants = entries_of(std::move(rows.grants)),
                .spend_cents_per_hour = rows.spends.front().entry};
    sort_entries(value);
    return value;
}

} // namespace

sheet parse_sheet(std::string_view text)
{
    check_size(text);
    if (text.substr(0, byte_order_mark.size()) == byte_order_mark)
        text.remove_prefix(byte_order_mark.size());
    std::vector<sheet_fault> faults;
    const std::vector<csv_record> records = read_csv(text, faults);
    check_header(records);
    draft rows;
    for (std::size_t index = 1; index < records.size(); ++index) {
        if (!is_blank(records[index]))
            read_row(records[index], rows, faults);
    }
    check_references(rows, faults);
    if (!faults.empty()) {
        std::stable_sort(faults.begin(), faults.end(), [](const sheet_fault& left, const sheet_fault& right) {
            return left.line < right.line;
        });
        throw sheet_error(std::move(faults));
    }
    return to_sheet(std::move(rows));
}

} // namespace siskinwharf::sheet
