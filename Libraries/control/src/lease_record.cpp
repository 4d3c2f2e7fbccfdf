#include "siskinwharf/control/lease_record.h"

#include <charconv>

namespace siskinwharf::control {

namespace {

/// Removes a decimal number and the space after it from the start of the text. Returns the number, or nothing
/// if the text does not start with both.
template<typename Number>
std::optional<Number> remove_leading_number(std::string_view& text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end == text.data() + text.size() || *end != ' ')
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    return number;
}

/// Decodes the lines after the first one, each of which ends with a line feed.
std::optional<std::vector<caller_age>> decode_callers(std::string_view text)
{
    std::vector<caller_age> callers;
    while (!text.empty()) {
        const auto end = text.find('\n');
        if (end == std::string_view::npos)
            return std::nullopt;
        auto line = text.substr(0, end);
        const auto age = remove_leading_number<std::int64_t>(line);
        if (!age)
            return std::nullopt;
        callers.push_back({std::string(line), milliseconds(*age)});
        text.remove_prefix(end + 1);
    }
    return callers;
}

} // namespace

std::string instance_of(std::string_view holder)
{
    return std::string(holder.substr(0, holder.rfind('#')));
}

std::string encode(const lease_record& record)
{
    auto text = std::to_string(record.fencing) + ' ' + std::to_string(record.attempt) + ' ' + record.holder;
    text += '\n';
    for (const auto& caller : record.callers)
        text += std::to_string(caller.age.count()) + ' ' + caller.instance + '\n';
    return text;
}

std::optional<lease_record> decode_lease_record(std::string_view value)
{
    const auto fencing = remove_leading_number<std::uint64_t>(value);
    const auto attempt = fencing ? remove_leading_number<std::uint64_t>(value) : std::nullopt;
    if (!attempt)
        return std::nullopt;
    const std::vector<caller_age> unknown{{"", milliseconds(0)}};
    const auto end = value.find('\n');
    if (end == std::string_view::npos)
        return lease_record{std::string(value), *fencing, *attempt, unknown};
    return lease_record{std::string(value.substr(0, end)), *fencing, *attempt,
                        decode_callers(value.substr(end + 1)).value_or(unknown)};
}

} // namespace siskinwharf::control
