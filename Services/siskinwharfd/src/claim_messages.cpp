#include "claim_messages.h"

#include "siskinwharf/claims/claim_row.h"

namespace siskinwharf::entry {

peer::claim_write to_claim_write(const cloud::table_write& write)
{
    const auto* condition = std::get_if<cloud::require_version>(&write.condition);
    return {write.key, write.value.value(), condition == nullptr ? 0 : condition->version};
}

cloud::table_write to_table_write(peer::claim_write write)
{
    cloud::table_write result{std::move(write.key), std::move(write.value), cloud::require_absent{}};
    if (write.version != 0)
        result.condition = cloud::require_version{write.version};
    return result;
}

peer::claim_write_result to_write_result(const cloud::commit_result& result)
{
    if (std::holds_alternative<cloud::table_committed>(result))
        return {peer::claim_write_state::committed, {}, 0};
    if (std::holds_alternative<cloud::table_unavailable>(result))
        return {peer::claim_write_state::unavailable, {}, 0};
    const auto* conflict = std::get_if<cloud::table_conflict>(&result);
    if (conflict == nullptr)
        return {peer::claim_write_state::uncertain, {}, 0};
    if (conflict->rows.empty() || !conflict->rows.front().current)
        return {peer::claim_write_state::conflict, {}, 0};
    const auto& current = *conflict->rows.front().current;
    return {peer::claim_write_state::conflict, current.value, current.version};
}

cloud::commit_result to_commit_result(const peer::claim_write_result& result, const std::string& key)
{
    switch (result.state) {
    case peer::claim_write_state::committed:
        return cloud::table_committed{};
    case peer::claim_write_state::unavailable:
        return cloud::table_unavailable{};
    case peer::claim_write_state::uncertain:
        return cloud::table_uncertain{};
    case peer::claim_write_state::conflict:
        break;
    }
    cloud::table_conflict conflict;
    conflict.rows.push_back({0, std::nullopt});
    if (result.version != 0)
        conflict.rows.front().current = cloud::table_row{key, result.current, result.version};
    return conflict;
}

peer::claim_status_reply to_status_reply(const claims::holder_reply& reply, claims::attempt_number attempt)
{
    if (std::holds_alternative<claims::holder_running>(reply))
        return {peer::claim_state::running, attempt, {}};
    if (std::holds_alternative<claims::holder_abandoned>(reply))
        return {peer::claim_state::voided, attempt, {}};
    if (const auto* done = std::get_if<claims::holder_done>(&reply)) {
        const claims::claim_row row{claims::claim_state::done, attempt, {}, {}, done->response};
        return {peer::claim_state::done, attempt, encode_claim_row(row)};
    }
    return {peer::claim_state::unknown, attempt, {}};
}

claims::holder_reply to_holder_reply(const peer::claim_status_reply& reply)
{
    switch (reply.state) {
    case peer::claim_state::running:
        return claims::holder_running{};
    case peer::claim_state::voided:
        return claims::holder_abandoned{};
    case peer::claim_state::unknown:
        return claims::holder_unknown{};
    case peer::claim_state::done:
        break;
    }
    try {
        const auto row = claims::decode_claim_row(reply.final_row);
        if (row.state == claims::claim_state::done && row.attempt == reply.attempt && row.response)
            return claims::holder_done{*row.response};
    } catch (const claims::claim_row_error&) {
        // A process of an older version sends no row.
    }
    return claims::holder_unknown{};
}

} // namespace siskinwharf::entry
