#include "siskinwharf/control/lease_record.h"

#include <charconv>

namespace siskinwharf::control {

namespace {

/// Removes a decimal number and the space after it from the start of the text. Returns the number, or nothing
/// if the text does not start with both.
std::optional<std::uint64_t> remove_leading_number(std::string_view& text)
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
    const auto fencing = remove_leading_number(value);
    const auto attempt = fencing ? remove_leading_number(value) : std::nullopt;
    if (!attempt)
        return std::nullopt;
    // The rest is the holder.
    return lease_record{std::string(value), *fencing, *attempt};
}

} // namespace siskinwharf::control
