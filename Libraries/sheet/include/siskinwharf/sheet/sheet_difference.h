#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::sheet {

/// Differences between the entries of one kind. An entry is changed if both sheets have it under the same
/// key: its name, for a model also its version, for a grant its account, target and regions.
template<typename Entry>
struct entry_difference {
    std::vector<Entry> removed;
    std::vector<Entry> added;
    std::vector<std::pair<Entry, Entry>> changed; ///< Old and new value.

    auto operator<=>(const entry_difference&) const = default;
    [[nodiscard]] bool empty() const { return removed.empty() && added.empty() && changed.empty(); }
};

/// What changes from one sheet to another.
struct sheet_difference {
    entry_difference<region_entry> regions;
    entry_difference<domain_entry> domains;
    entry_difference<model_entry> models;
    entry_difference<service_entry> services;
    entry_difference<account_entry> accounts;
    entry_difference<grant_entry> grants;
    std::uint64_t old_spend_cents_per_hour = 0;
    std::uint64_t new_spend_cents_per_hour = 0;

    auto operator<=>(const sheet_difference&) const = default;
    [[nodiscard]] bool empty() const;
};

/// Compares two sheets; the order of their entries does not matter.
[[nodiscard]] sheet_difference compare_sheets(const sheet& old_sheet, const sheet& new_sheet);

/// One line for each difference: `+ <row>` and `- <row>` with the canonical row, or
/// `~ <kind> <key>: <column> <old> -> <new>, ...` for a changed entry. Empty for equal sheets.
[[nodiscard]] std::vector<std::string> to_lines(const sheet_difference& difference);

} // namespace siskinwharf::sheet
