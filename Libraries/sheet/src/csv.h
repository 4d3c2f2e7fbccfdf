#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/sheet/sheet_error.h"

namespace siskinwharf::sheet {

/// One record of a CSV text and the line on which it starts.
struct csv_record {
    std::size_t line = 0;
    std::vector<std::string> fields;
};

/// Splits a text into records as in RFC 4180, with CRLF or LF as line end. Appends a fault for each breach of
/// the quoting rules and goes on, so that later faults are found too.
[[nodiscard]] std::vector<csv_record> read_csv(std::string_view text, std::vector<sheet_fault>& faults);

/// Appends one record with LF as line end.
void append_csv(std::string& text, const std::vector<std::string>& fields);

/// Returns the offset of the first byte that is not part of well-formed UTF-8, or `npos`.
[[nodiscard]] std::size_t find_invalid_utf8(std::string_view text);

/// Shortens a value and replaces control and non-ASCII bytes, for use in a fault.
[[nodiscard]] std::string printable(std::string_view value);

} // namespace siskinwharf::sheet
