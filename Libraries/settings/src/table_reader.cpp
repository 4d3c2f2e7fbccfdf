#include "table_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace siskinwharf::settings {

namespace {

/// Longest value quoted in a fault, in bytes.
constexpr std::size_t max_printable = 60;

std::string describe(const toml::node& node)
{
    if (const auto* text = node.as_string())
        return text->get();
    std::ostringstream stream;
    stream << node.type();
    if (node.is_integer() || node.is_floating_point() || node.is_boolean())
        stream << ' ' << toml::node_view<const toml::node>(node);
    return stream.str();
}

} // namespace

std::string printable(std::string value)
{
    const bool is_long = value.size() > max_printable;
    value.resize(std::min(value.size(), max_printable));
    std::replace_if(
        value.begin(), value.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
    return is_long ? value + "..." : value;
}

table_reader::table_reader(const toml::table& root, std::string name, std::vector<settings_fault>& faults)
    : m_name(std::move(name)), m_faults(faults)
{
    m_table = m_name.empty() ? &root : root[m_name].as_table();
}

std::string table_reader::text(std::string_view key, const text_rule& rule)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        add_fault(key, "nothing", std::string(rule.allowed));
        return {};
    }
    return check_text(key, *node, rule);
}

std::string table_reader::text_or(std::string_view key, const text_rule& rule, std::string default_value)
{
    const toml::node* node = find(key);
    return node == nullptr ? std::move(default_value) : check_text(key, *node, rule);
}

std::vector<std::string> table_reader::texts(std::string_view key, const text_rule& rule,
                                             std::size_t max_size)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return {};
    const toml::array* array = node->as_array();
    if (array == nullptr || array->size() > max_size) {
        add_fault(key, array == nullptr ? describe(*node) : fmt::format("{} values", array->size()),
                  fmt::format("an array of at most {} values, each {}", max_size, rule.allowed));
        return {};
    }
    std::vector<std::string> values;
    values.reserve(array->size());
    for (const toml::node& element : *array)
        values.push_back(check_text(key, element, rule));
    return values;
}

std::string table_reader::check_text(std::string_view key, const toml::node& node, const text_rule& rule)
{
    const auto* text = node.as_string();
    if (text != nullptr && rule.is_valid(text->get()))
        return text->get();
    std::string found = describe(node);
    if (rule.is_secret)
        found = fmt::format("{} characters", found.size());
    m_faults.push_back({.line = node.source().begin.line,
                        .key = full_key(key),
                        .found = printable(std::move(found)),
                        .allowed = std::string(rule.allowed)});
    return {};
}

std::int64_t table_reader::number_or(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                     std::int64_t default_value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return default_value;
    const auto* number = node->as_integer();
    if (number != nullptr && number->get() >= lowest && number->get() <= highest)
        return number->get();
    add_fault(key, describe(*node), fmt::format("an integer from {} to {}", lowest, highest));
    return default_value;
}

double table_reader::real_or(std::string_view key, double lowest, double highest, double default_value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return default_value;
    // Not-a-number fails both comparisons.
    const auto number = node->is_number() ? node->value<double>() : std::nullopt;
    if (number && *number >= lowest && *number <= highest)
        return *number;
    add_fault(key, describe(*node), fmt::format("a number from {} to {}", lowest, highest));
    return default_value;
}

void table_reader::add_fault(std::string_view key, std::string found, std::string allowed)
{
    const toml::node* node = m_table != nullptr ? m_table->get(key) : nullptr;
    // A missing key is reported at its table, if that is there.
    std::size_t line = 0;
    if (node != nullptr)
        line = node->source().begin.line;
    else if (m_table != nullptr)
        line = m_table->source().begin.line;
    m_faults.push_back({.line = line,
                        .key = full_key(key),
                        .found = printable(std::move(found)),
                        .allowed = std::move(allowed)});
}

void table_reader::refuse_unknown_keys()
{
    if (m_table == nullptr)
        return;
    for (const auto& [key, node] : *m_table) {
        if (m_known.contains(key.str()))
            continue;
        m_faults.push_back({.line = key.source().begin.line,
                            .key = full_key(printable(std::string(key.str()))),
                            .found = "unknown key",
                            .allowed = fmt::format("{}", fmt::join(m_known, ", "))});
    }
}

const toml::node* table_reader::find(std::string_view key)
{
    m_known.emplace(key);
    return m_table != nullptr ? m_table->get(key) : nullptr;
}

std::string table_reader::full_key(std::string_view key) const
{
    return m_name.empty() ? std::string(key) : fmt::format("{}.{}", m_name, key);
}

} // namespace siskinwharf::settings
