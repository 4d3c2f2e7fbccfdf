#include "siskinwharf/control/lease_record.h"

#include <charconv>

namespace siskinwharf::control {

namespace {

std::optional<std::uint64_t> take_number(std::string_view& text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end == text.data() + text.size() || *end != ' ')
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    return number;
}

} // namespace

std::string encode(const lease_record& record)
{
    return std::to_string(record.fencing) + ' ' + std::to_string(record.attempt) + ' ' + record.holder;
}

std::optional<lease_record> decode_lease_record(std::string_view value)
{
    const auto fencing = take_number(value);
    const auto attempt = fencing ? take_number(value) : std::nullopt;
    if (!attempt)
        return std::nullopt;
    return lease_record{std::string(value), *fencing, *attempt};
}

} // namespace siskinwharf::control
