#pragma once

#include <compare>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace siskinwharf::sheet {

/// One fault of a sheet text.
struct sheet_fault {
    std::size_t line = 0; ///< Line on which the row starts, from 1; 0 if the fault concerns the whole text.
    std::string field;    ///< Column name, or empty if the fault concerns the whole row or text.
    std::string found;    ///< The value found, shortened and with control characters replaced.
    std::string allowed;  ///< The values allowed.

    auto operator<=>(const sheet_fault&) const = default;
};

/// `line 4, field share: found "0", allowed 1 to 1000`
[[nodiscard]] std::string to_string(const sheet_fault& fault);

/// Thrown for a sheet text that has faults. Carries all of them, in the order of their lines.
class sheet_error : public std::runtime_error {
public:
    explicit sheet_error(std::vector<sheet_fault> faults);

    [[nodiscard]] const std::vector<sheet_fault>& faults() const { return m_faults; }

private:
    std::vector<sheet_fault> m_faults;
};

} // namespace siskinwharf::sheet
