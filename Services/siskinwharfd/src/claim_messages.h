#pragma once

#include <string>

#include "siskinwharf/claims/claim_action.h"
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

[[nodiscard]] peer::claim_status_reply to_status_reply(const claims::holder_reply& reply,
                                                       claims::attempt_number attempt);
/// A reply without the row that its state needs, or with an unreadable one, says nothing.
[[nodiscard]] claims::holder_reply to_holder_reply(const peer::claim_status_reply& reply);

} // namespace siskinwharf::entry
