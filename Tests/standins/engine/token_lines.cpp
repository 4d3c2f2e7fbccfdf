#include "token_lines.h"

#include <utility>

#include <fmt/format.h>

namespace siskinwharf::standins {

std::string token_lines::add(std::uint64_t offset, const std::string& token, const line_faults& faults)
{
    // Tokens are a letter and digits, or were parsed from JSON by the caller of the engine and compared with
    // such tokens, so they need no escapes.
    std::string line = fmt::format("{{\"offset\":{},\"token\":\"{}\"}}\n", offset, token);
    ++m_count;
    if (faults.duplicate_every > 0 && m_count % faults.duplicate_every == 0)
        line += line;
    if (!m_held_back.empty())
        return line + flush();
    if (faults.reorder_every > 0 && m_count % faults.reorder_every == 0) {
        m_held_back = std::move(line);
        return {};
    }
    return line;
}

std::string token_lines::flush()
{
    return std::exchange(m_held_back, {});
}

} // namespace siskinwharf::standins
