#include "siskinwharf/sheet/sheet_rows.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "row_reader.h"
#include "siskinwharf/base/era_numbers.h"

namespace siskinwharf::sheet {

std::string version_key(std::uint64_t version)
{
    return fmt::format("sheet/{}", version);
}

std::uint64_t next_version(std::uint64_t current, std::uint64_t era)
{
    return std::max(current, last_number_before_era(era)) + 1;
}

std::string submission_key(std::string_view submission)
{
    return fmt::format("submission/{}", submission);
}

std::optional<std::uint64_t> parse_version(std::string_view text)
{
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc{} || end != text.data() + text.size() || text.front() == '0')
        return std::nullopt;
    return version;
}

std::string to_value(const submission_record& record)
{
    return fmt::format("{} {}", record.version, record.text_digest);
}

std::optional<submission_record> parse_submission_record(std::string_view value)
{
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos || !is_digest(value.substr(space + 1)))
        return std::nullopt;
    const auto version = parse_version(value.substr(0, space));
    if (!version)
        return std::nullopt;
    return submission_record{.version = *version, .text_digest = std::string(value.substr(space + 1))};
}

} // namespace siskinwharf::sheet
