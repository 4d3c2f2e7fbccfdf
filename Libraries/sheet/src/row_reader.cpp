#include "row_reader.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace siskinwharf::sheet {

namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_prefix_bytes = 128;
constexpr std::size_t digest_digits = 64;
/// Largest number of values in one cell.
constexpr std::size_t max_list_values = 32;

bool is_lower_or_digit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool contains(std::string_view characters, char character)
{
    return characters.find(character) != std::string_view::npos;
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> values;
    std::size_t position = 0;
    while ((position = text.find_first_not_of(list_separator, position)) != std::string_view::npos) {
        const std::size_t end = std::min(text.find(list_separator, position), text.size());
        values.emplace_back(text.substr(position, end - position));
        position = end;
    }
    return values;
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes && is_lower_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return is_lower_or_digit(character) || contains("._-", character);
           });
}

bool is_prefix(std::string_view text)
{
    return !text.empty() && text.size() <= max_prefix_bytes && text.front() == '/' &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return is_lower_or_digit(character) || (character >= 'A' && character <= 'Z') ||
                      contains("/._~-", character);
           });
}

bool is_digest(std::string_view text)
{
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= 'a' && character <= 'f') || (character >= '0' && character <= '9');
           });
}

row_reader::row_reader(const csv_record& record, std::vector<sheet_fault>& faults)
    : m_record(record), m_faults(faults)
{
    if (record.fields.size() != column_names.size()) {
        m_faults.push_back({.line = record.line,
                            .field = {},
                            .found = fmt::format("{} fields", record.fields.size()),
                            .allowed = fmt::format("{} fields", column_names.size())});
    }
}

void row_reader::allow_only(std::initializer_list<column> used)
{
    for (std::size_t index = 1; index < column_names.size(); ++index) {
        const auto which = static_cast<column>(index);
        if (!cell(which).empty() && std::find(used.begin(), used.end(), which) == used.end())
            add_fault(which, cell(which), fmt::format("an empty cell in a {} row", cell(column::kind)));
    }
}

std::string_view row_reader::cell(column which) const
{
    const auto index = static_cast<std::size_t>(which);
    if (index >= m_record.fields.size())
        return {};
    return m_record.fields[index];
}

std::string row_reader::name(column which)
{
    if (!is_name(cell(which)))
        add_fault(which, cell(which), std::string(name_rule));
    return std::string(cell(which));
}

std::uint64_t row_reader::number(column which, number_range range)
{
    const std::string_view text = cell(which);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_whole = error == std::errc{} && end == text.data() + text.size();
    if (!is_whole || value < range.lowest || value > range.highest) {
        add_fault(which, text, fmt::format("{} to {}", range.lowest, range.highest));
        return range.lowest;
    }
    return value;
}

std::uint64_t row_reader::number_or(column which, number_range range, std::uint64_t default_value)
{
    return cell(which).empty() ? default_value : number(which, range);
}

std::vector<std::string> row_reader::list(column which, bool (*is_valid)(std::string_view),
                                          std::string_view allowed)
{
    std::vector<std::string> values = split(cell(which));
    if (values.size() > max_list_values)
        add_fault(which, fmt::format("{} values", values.size()), fmt::format("{} values", max_list_values));
    for (const std::string& value : values) {
        if (!is_valid(value))
            add_fault(which, value, std::string(allowed));
    }
    std::sort(values.begin(), values.end());
    for (auto at = values.begin(); (at = std::adjacent_find(at, values.end())) != values.end(); ++at)
        add_fault(which, *at, "each value once");
    return values;
}

void row_reader::add_fault(column which, std::string_view found, std::string allowed)
{
    m_faults.push_back({.line = m_record.line,
                        .field = std::string(column_names[static_cast<std::size_t>(which)]),
                        .found = printable(found),
                        .allowed = std::move(allowed)});
}

} // namespace siskinwharf::sheet
