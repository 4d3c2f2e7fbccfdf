#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "siskinwharf/settings/settings_error.h"

namespace siskinwharf::settings {

/// What a text value must be. A secret is never quoted in a fault.
struct text_rule {
    bool (*is_valid)(std::string_view) = nullptr;
    std::string_view allowed;
    bool is_secret = false;
};

/// Shortens a value and replaces control and non-ASCII bytes, for use in a fault.
[[nodiscard]] std::string printable(std::string value);

/// Reads the keys of one TOML table and collects their faults. A value with a fault is returned as a default.
class table_reader {
public:
    /// `name` is the key of the table in `root`, or empty for the root itself. A missing table has no keys.
    table_reader(const toml::table& root, std::string name, std::vector<settings_fault>& faults);

    /// Marks a key as known without reading it.
    void allow(std::string_view key) { m_known.emplace(key); }

    [[nodiscard]] std::string text(std::string_view key, const text_rule& rule);
    [[nodiscard]] std::string text_or(std::string_view key, const text_rule& rule, std::string default_value);
    [[nodiscard]] std::vector<std::string> texts(std::string_view key, const text_rule& rule,
                                                 std::size_t max_size);
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                         std::int64_t default_value);
    [[nodiscard]] double real_or(std::string_view key, double lowest, double highest, double default_value);

    void add_fault(std::string_view key, std::string found, std::string allowed);

    /// Adds a fault for each key that was not read.
    void refuse_unknown_keys();

private:
    const toml::node* find(std::string_view key);
    [[nodiscard]] std::string full_key(std::string_view key) const;
    [[nodiscard]] std::string check_text(std::string_view key, const toml::node& node, const text_rule& rule);

    const toml::table* m_table = nullptr;
    std::string m_name;
    std::vector<settings_fault>& m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace siskinwharf::settings
