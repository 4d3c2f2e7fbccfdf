#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "columns.h"
#include "csv.h"

namespace siskinwharf::sheet {

/// An inclusive range of numbers.
struct number_range {
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// Reads the cells of one row and collects their faults. Returns the text found even if it has a fault, so
/// that references to it do not yield further faults.
class row_reader {
public:
    row_reader(const csv_record& record, std::vector<sheet_fault>& faults);

    /// Adds a fault for each cell that is not empty and not in one of these columns. Marks the kind itself.
    void allow_only(std::initializer_list<column> used);

    [[nodiscard]] std::string_view cell(column which) const;
    [[nodiscard]] std::string name(column which);
    [[nodiscard]] std::uint64_t number(column which, number_range range);
    [[nodiscard]] std::uint64_t number_or(column which, number_range range, std::uint64_t default_value);

    /// Reads a list without duplicates. A fault names `allowed` if `is_valid` refuses one of its values.
    [[nodiscard]] std::vector<std::string> list(column which, bool (*is_valid)(std::string_view),
                                                std::string_view allowed);

    void add_fault(column which, std::string_view found, std::string allowed);

private:
    const csv_record& m_record;
    std::vector<sheet_fault>& m_faults;
};

inline constexpr std::string_view name_rule =
    "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit";
inline constexpr std::string_view prefix_rule =
    "'/' and at most 127 of A-Z, a-z, 0-9, '/', '.', '_', '~' and '-'";
inline constexpr std::string_view digest_rule = "64 lower-case hexadecimal digits (SHA-256)";

[[nodiscard]] bool is_name(std::string_view text);
[[nodiscard]] bool is_prefix(std::string_view text);
[[nodiscard]] bool is_digest(std::string_view text);

} // namespace siskinwharf::sheet
