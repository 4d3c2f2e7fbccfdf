#pragma once

#include <cstdint>
#include <string>

namespace siskinwharf::standins {

/// Faults of the token lines of a stream. Zero turns a fault off.
struct line_faults {
    std::uint64_t duplicate_every = 0; ///< Every n-th line is sent twice.
    std::uint64_t reorder_every = 0;   ///< Every n-th line is sent after the one that follows it.
};

/// Writes the lines of one connection, with faults.
class token_lines {
public:
    /// The lines to send now for the token at `offset`.
    std::string add(std::uint64_t offset, const std::string& token, const line_faults& faults);
    /// The lines that are held back.
    std::string flush();

private:
    std::string m_held_back;
    std::uint64_t m_count = 0;
};

} // namespace siskinwharf::standins
