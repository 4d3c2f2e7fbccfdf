#include "siskinwharf/dispatch/endpoint_record.h"

#include <array>
#include <charconv>

namespace siskinwharf::dispatch {

std::string to_string(const std::vector<prompt_part>& parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const auto& part : parts) {
        std::array<char, sizeof(part.id) * 2> digits{};
        const auto [end, error] =
            std::to_chars(digits.data(), digits.data() + digits.size(), part.id, hexadecimal);
        if (!text.empty())
            text += ',';
        text.append(digits.data(), end);
    }
    return text;
}

std::vector<std::uint64_t> shared_part_ids(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
        ids.push_back(parts[index].id);
    return ids;
}

} // namespace siskinwharf::dispatch
