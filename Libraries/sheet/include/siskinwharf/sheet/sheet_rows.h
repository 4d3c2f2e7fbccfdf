#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinwharf::sheet {

/// Key of the table row whose value is the number of the newest accepted version. The row is never deleted,
/// so its row version only rises.
inline constexpr std::string_view current_key = "sheet/current";

/// Key of the table row whose value is the text of a version.
[[nodiscard]] std::string version_key(std::uint64_t version);

/// The version after `current` in an era of the table. Versions of an era are above those of the eras before,
/// so that a version which a restore of the table has lost is never given to another sheet.
[[nodiscard]] std::uint64_t next_version(std::uint64_t current, std::uint64_t era);

/// Key of the table row that records what became of a submission.
[[nodiscard]] std::string submission_key(std::string_view submission);

/// Reads a version number as written by `std::to_string`; `std::nullopt` for anything else, and for 0, which
/// stands for "no version".
[[nodiscard]] std::optional<std::uint64_t> parse_version(std::string_view text);

/// Value of a submission row: the version it became and the digest of its text.
struct submission_record {
    std::uint64_t version = 0;
    std::string text_digest; ///< SHA-256, lower-case hexadecimal.
};

/// `<version> <digest>`
[[nodiscard]] std::string to_value(const submission_record& record);
[[nodiscard]] std::optional<submission_record> parse_submission_record(std::string_view value);

} // namespace siskinwharf::sheet
