#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::sheet {

/// Largest sheet text in bytes. Each entry process fetches the text after a change: 2.2 s until its next poll
/// and 10.3 s for 100 KiB at the control budget of 10 KB/s are within the 13 s of P7 at full scale.
inline constexpr std::size_t max_sheet_bytes = 100UL * 1024;

/// Largest number of rows, so that an adverse text of short rows is refused before the checks between rows.
inline constexpr std::size_t max_sheet_rows = 4096;

/// Reads a sheet: CSV as in RFC 4180, UTF-8 with an optional byte order mark, lines ending in CRLF or LF.
/// docs/sheet.md describes the format. The entries and the lists in them come sorted, so that texts that
/// differ only in the order of their rows yield equal sheets. Throws `sheet_error` with every fault.
[[nodiscard]] sheet parse_sheet(std::string_view text);

/// The canonical text of a sheet: sorted rows, LF line ends, quotes only where needed.
/// `parse_sheet(render_sheet(s)) == s` for each `s` that `parse_sheet` returned.
[[nodiscard]] std::string render_sheet(const sheet& value);

} // namespace siskinwharf::sheet
