#pragma once

#include <string>

#include "siskinwharf/cloud/table.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

// Conversions between claim writes of the table and those in peer messages.

/// The write must have a value.
[[nodiscard]] peer::claim_write to_claim_write(const cloud::table_write& write);
[[nodiscard]] cloud::table_write to_table_write(peer::claim_write write);
/// A conflict must list at most the row of this write.
[[nodiscard]] peer::claim_write_result to_write_result(const cloud::commit_result& result);
[[nodiscard]] cloud::commit_result to_commit_result(const peer::claim_write_result& result,
                                                    const std::string& key);

} // namespace siskinwharf::entry
