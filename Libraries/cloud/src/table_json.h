#pragma once

#include <string>
#include <string_view>

#include "siskinwharf/cloud/table.h"

namespace siskinwharf::cloud {

/// JSON body of a commit.
[[nodiscard]] std::string encode_transaction(const table_transaction& transaction);
/// Reads the body of a commit that was refused because of its conditions. Throws
/// `boost::system::system_error`.
[[nodiscard]] table_conflict decode_conflict(std::string_view body);
/// Reads the body of a row. Throws `boost::system::system_error`.
[[nodiscard]] table_row decode_row(std::string_view body);

} // namespace siskinwharf::cloud
