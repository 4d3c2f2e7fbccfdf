#pragma once

#include <compare>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace siskinwharf::settings {

/// One fault of a settings text.
struct settings_fault {
    std::size_t line = 0; ///< From 1; 0 if the key or the whole text is missing.
    std::string key;      ///< Dotted key, or empty if the text is not TOML.
    std::string found;    ///< The value found, shortened. Never a secret.
    std::string allowed;

    auto operator<=>(const settings_fault&) const = default;
};

/// `line 4, listen.callers: found "x", allowed <ip>:<port>`
[[nodiscard]] std::string to_string(const settings_fault& fault);

/// Thrown for a settings text that has faults. Carries all of them, in the order of their lines.
class settings_error : public std::runtime_error {
public:
    explicit settings_error(std::vector<settings_fault> faults);

    [[nodiscard]] const std::vector<settings_fault>& faults() const { return m_faults; }

private:
    std::vector<settings_fault> m_faults;
};

} // namespace siskinwharf::settings
