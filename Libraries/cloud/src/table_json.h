#pragma once

#include <string>
#include <string_view>

#include "siskinwharf/cloud/table.h"

namespace siskinwharf::cloud {

/// Encodes the JSON body of a commit.
[[nodiscard]] std::string encode_transaction(const table_transaction& transaction);
/// Decodes the answer to a commit whose conditions did not hold. Throws `boost::system::system_error` for a
/// malformed body.
[[nodiscard]] table_conflict decode_conflict(std::string_view body);
/// Decodes a row. Throws `boost::system::system_error` for a malformed body.
[[nodiscard]] table_row decode_row(std::string_view body);

} // namespace siskinwharf::cloud
