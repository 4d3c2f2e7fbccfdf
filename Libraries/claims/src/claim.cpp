#include "siskinwharf/claims/claim.h"

#include <utility>

#include "siskinwharf/claims/release_token.h"

namespace siskinwharf::claims {

namespace {

std::uint64_t version_after(const cloud::write_condition& condition)
{
    const auto* version = std::get_if<cloud::require_version>(&condition);
    return version == nullptr ? 1 : version->version + 1;
}

bool condition_holds(const cloud::write_condition& condition, const std::optional<cloud::table_row>& current)
{
    if (const auto* version = std::get_if<cloud::require_version>(&condition))
        return current && current->version == version->version;
    return !current;
}

std::optional<cloud::table_row> conflicting_row(const cloud::table_conflict& conflict)
{
    return conflict.rows.empty() ? std::nullopt : conflict.rows.front().current;
}

std::optional<claim_row> try_decode(const cloud::table_row& row)
{
    try {
        return decode_claim_row(row.value);
    } catch (const claim_row_error&) {
        return std::nullopt;
    }
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::table_unavailable:
        return "table_unavailable";
    case refusal_reason::contention:
        return "contention";
    case refusal_reason::not_sent:
        return "not_sent";
    case refusal_reason::key_reused:
        return "key_reused";
    case refusal_reason::in_progress:
        return "in_progress";
    case refusal_reason::holder_lost:
        return "holder_lost";
    case refusal_reason::connection_broken:
        return "connection_broken";
    case refusal_reason::unreadable_row:
        return "unreadable_row";
    }
    return "holder_lost";
}

std::string_view to_string(claim::phase value)
{
    constexpr std::array<std::string_view, 8> names{"created", "claiming", "reading_back", "voiding",
                                                    "asking",  "sending",  "storing",      "ended"};
    return names.at(static_cast<std::size_t>(value));
}

final_write_check check_final_write(pending_final_write& final_write,
                                    const std::optional<cloud::table_row>& current)
{
    if (condition_holds(final_write.condition, current))
        return final_write_check::retry;
    const auto row = current ? try_decode(*current) : std::nullopt;
    if (!row || row->attempt != final_write.row.attempt)
        return final_write_check::superseded;
    if (row->state != claim_state::held)
        return row->state == final_write.row.state ? final_write_check::written
                                                   : final_write_check::superseded;
    final_write.condition = cloud::require_version{current->version};
    return final_write_check::retry;
}

claim::claim(claim_request request, std::string signing_key)
    : m_request(std::move(request)),
      m_signing_key(std::move(signing_key)),
      m_row_key(claim_row_key(m_request.identity)),
      m_released_attempts(verify_release(m_signing_key, m_request.identity, m_request.release_token))
{
}

claim_action claim::start()
{
    if (m_phase != phase::created)
        return no_action{};
    return write_claim(cloud::require_absent{});
}

claim_action claim::on_commit(const cloud::commit_result& result)
{
    const bool committed = std::holds_alternative<cloud::table_committed>(result);
    const auto* conflict = std::get_if<cloud::table_conflict>(&result);
    if (m_phase == phase::claiming) {
        if (committed)
            return permit_sending(version_after(m_condition));
        if (conflict != nullptr)
            return handle_current_row(conflicting_row(*conflict));
        if (std::holds_alternative<cloud::table_unavailable>(result))
            return refuse(outcome::not_run, refusal_reason::table_unavailable);
        m_phase = phase::reading_back;
        return read_table{m_row_key, read_back_delays.at(m_read_backs++)};
    }
    if (m_phase != phase::voiding && m_phase != phase::storing)
        return no_action{};
    if (committed) {
        m_final_write_unconfirmed = false;
        return end_after_final_write();
    }
    return conflict != nullptr ? on_final_write_conflict(*conflict) : on_final_write_unconfirmed();
}

claim_action claim::on_read(const cloud::read_result& result)
{
    if (m_phase != phase::reading_back)
        return no_action{};
    const auto* current = std::get_if<std::optional<cloud::table_row>>(&result);
    if (current == nullptr) {
        if (m_read_backs == read_back_delays.size())
            return abandon();
        return read_table{m_row_key, read_back_delays.at(m_read_backs++)};
    }
    // The uncertain write can still take effect, so the call cannot be refused as `not_run` before a void
    // row blocks that write.
    if (condition_holds(m_condition, *current))
        return write_final(own_row(claim_state::abandoned), m_condition, phase::voiding);
    return handle_current_row(*current);
}

claim_action claim::on_holder_reply(const holder_reply& reply)
{
    if (m_phase != phase::asking)
        return no_action{};
    if (std::holds_alternative<holder_abandoned>(reply)) {
        m_released_attempts.insert(m_last_seen_attempt);
        return write_claim(cloud::require_version{m_version});
    }
    if (const auto* done = std::get_if<holder_done>(&reply)) {
        m_phase = phase::ended;
        return return_stored{done->response};
    }
    return refuse(outcome::unknown, std::holds_alternative<holder_running>(reply)
                                        ? refusal_reason::in_progress
                                        : refusal_reason::holder_lost);
}

claim_action claim::give_up()
{
    switch (m_phase) {
    case phase::created:
        return refuse(outcome::not_run, refusal_reason::not_sent);
    case phase::claiming:
    case phase::reading_back:
        return abandon();
    case phase::asking:
        return refuse(outcome::unknown, refusal_reason::holder_lost);
    case phase::voiding:
    case phase::storing:
        return on_final_write_unconfirmed();
    case phase::sending:
    case phase::ended:
        return no_action{};
    }
    return no_action{};
}

claim_action claim::on_not_sent()
{
    if (m_phase != phase::sending)
        return no_action{};
    return write_final(own_row(claim_state::abandoned), cloud::require_version{m_version}, phase::voiding);
}

claim_action claim::on_finished(stored_response response)
{
    if (m_phase != phase::sending)
        return no_action{};
    claim_row row = own_row(claim_state::done);
    row.response = std::move(response);
    return write_final(std::move(row), cloud::require_version{m_version}, phase::storing);
}

claim_action claim::on_connection_broken()
{
    if (m_phase != phase::sending)
        return no_action{};
    return write_final(own_row(claim_state::unknown), cloud::require_version{m_version}, phase::storing);
}

holder_reply claim::reply_to_peer() const
{
    if (m_final_write) {
        if (m_final_write->row.state == claim_state::abandoned)
            return holder_abandoned{};
        if (m_final_write->row.state == claim_state::done)
            return holder_done{*m_final_write->row.response};
        return holder_unknown{};
    }
    // An attempt that ended without a final row was refused before it was allowed to send.
    if (m_phase == phase::ended)
        return holder_abandoned{};
    return holder_running{};
}

std::optional<pending_final_write> claim::take_pending_final_write()
{
    if (m_phase != phase::ended || !m_final_write_unconfirmed)
        return std::nullopt;
    m_final_write_unconfirmed = false;
    return m_final_write;
}

claim_row claim::own_row(claim_state state) const
{
    return {state, m_request.attempt, m_request.holder, m_request.request_digest, std::nullopt};
}

claim_action claim::write_claim(cloud::write_condition condition)
{
    if (m_claim_writes == maximum_claim_writes)
        return refuse(outcome::not_run, refusal_reason::contention);
    ++m_claim_writes;
    m_read_backs = 0;
    m_phase = phase::claiming;
    m_condition = condition;
    return write_table{{m_row_key, encode_claim_row(own_row(claim_state::held)), condition}};
}

claim_action claim::write_final(claim_row row, cloud::write_condition condition, phase next)
{
    m_phase = next;
    m_final_write = pending_final_write{m_row_key, std::move(row), condition};
    m_final_write_unconfirmed = true;
    return write_table{{m_row_key, encode_claim_row(m_final_write->row), condition}};
}

claim_action claim::permit_sending(std::uint64_t version)
{
    m_phase = phase::sending;
    m_version = version;
    return may_send{};
}

claim_action claim::handle_current_row(const std::optional<cloud::table_row>& current)
{
    if (!current)
        return write_claim(cloud::require_absent{});
    const auto row = try_decode(*current);
    if (!row)
        return refuse(outcome::unknown, refusal_reason::unreadable_row);
    if (row->attempt == m_request.attempt && row->state == claim_state::held)
        return permit_sending(current->version);
    m_last_seen_attempt = row->attempt;
    if (row->state == claim_state::abandoned)
        return write_claim(cloud::require_version{current->version});
    if (row->state == claim_state::held && m_released_attempts.contains(row->attempt))
        return write_claim(cloud::require_version{current->version});
    if (row->request_digest != m_request.request_digest)
        return refuse(outcome::not_run, refusal_reason::key_reused);
    return handle_other_attempt(*row, current->version);
}

claim_action claim::handle_other_attempt(const claim_row& row, std::uint64_t version)
{
    if (row.state == claim_state::done) {
        m_phase = phase::ended;
        return return_stored{*row.response};
    }
    if (row.state == claim_state::unknown)
        return refuse(outcome::unknown, refusal_reason::connection_broken);
    m_phase = phase::asking;
    m_version = version;
    return ask_holder{row.holder, row.attempt};
}

claim_action claim::on_final_write_conflict(const cloud::table_conflict& conflict)
{
    const auto current = conflicting_row(conflict);
    switch (check_final_write(*m_final_write, current)) {
    case final_write_check::retry:
        if (++m_final_write_retries > maximum_final_write_retries)
            return on_final_write_unconfirmed();
        return write_table{{m_row_key, encode_claim_row(m_final_write->row), m_final_write->condition}};
    case final_write_check::written:
        m_final_write_unconfirmed = false;
        return end_after_final_write();
    case final_write_check::superseded:
        m_final_write_unconfirmed = false;
        break;
    }
    if (m_phase == phase::storing)
        return end_after_final_write();
    // This attempt never sends, but the current row shows the state of another attempt at the same call.
    const auto row = current ? try_decode(*current) : std::nullopt;
    if (current && !row)
        return refuse(outcome::unknown, refusal_reason::unreadable_row);
    if (!row || row->state == claim_state::abandoned || m_released_attempts.contains(row->attempt))
        return refuse(outcome::not_run, refusal_reason::not_sent);
    if (row->state == claim_state::done) {
        m_phase = phase::ended;
        return return_stored{*row->response};
    }
    return refuse(outcome::unknown, row->state == claim_state::held ? refusal_reason::in_progress
                                                                    : refusal_reason::connection_broken);
}

claim_action claim::on_final_write_unconfirmed()
{
    if (m_phase == phase::storing)
        return end_after_final_write();
    m_released_attempts.insert(m_request.attempt);
    return refuse(outcome::not_run, refusal_reason::table_unavailable);
}

claim_action claim::abandon()
{
    // The void row uses the condition of the uncertain claim write, because only a write under the same
    // condition can prevent the claim write from taking effect later.
    m_final_write = pending_final_write{m_row_key, own_row(claim_state::abandoned), m_condition};
    m_final_write_unconfirmed = true;
    m_released_attempts.insert(m_request.attempt);
    return refuse(outcome::not_run, refusal_reason::table_unavailable);
}

claim_action claim::end_after_final_write()
{
    switch (m_final_write->row.state) {
    case claim_state::abandoned:
        // The void row replaced every claim that the presented token could release, so the caller needs no
        // token.
        m_released_attempts.clear();
        return refuse(outcome::not_run, refusal_reason::not_sent);
    case claim_state::unknown:
        return refuse(outcome::unknown, refusal_reason::connection_broken);
    case claim_state::held:
    case claim_state::done:
        break;
    }
    m_phase = phase::ended;
    return claim_settled{};
}

claim_action claim::refuse(outcome result, refusal_reason reason)
{
    m_phase = phase::ended;
    std::string token;
    if (result == outcome::not_run)
        token = sign_release(m_signing_key, m_request.identity, m_released_attempts,
                             {m_last_seen_attempt, m_request.attempt});
    return refuse_call{result, reason, std::move(token)};
}

} // namespace siskinwharf::claims
