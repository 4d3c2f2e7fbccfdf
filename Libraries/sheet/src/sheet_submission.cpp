#include "siskinwharf/sheet/sheet_submission.h"

#include <stdexcept>
#include <utility>

#include "row_reader.h"
#include "siskinwharf/base/digest.h"
#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/sheet_error.h"
#include "siskinwharf/sheet/sheet_rows.h"

namespace siskinwharf::sheet {

namespace {

/// Version in the `sheet/current` row; 0 without a row, `std::nullopt` if it is malformed.
std::optional<std::uint64_t> current_version_of(const std::optional<cloud::table_row>& row)
{
    return row ? parse_version(row->value) : 0;
}

} // namespace

sheet_submission::sheet_submission(std::string text, std::string submission,
                                   std::optional<std::uint64_t> base_version)
    : m_text(std::move(text)),
      m_sheet(parse_sheet(m_text)),
      m_submission(std::move(submission)),
      m_digest(sha256_hex(m_text)),
      m_base_version(base_version)
{
    if (!is_name(m_submission))
        throw std::invalid_argument("submission id: found \"" + printable(m_submission) + "\", allowed " +
                                    std::string(name_rule));
    read(state::reading_current, std::string(current_key));
}

void sheet_submission::on_read(const cloud::read_result& result)
{
    if (!std::holds_alternative<read_row>(m_next))
        throw std::logic_error("sheet submission got a row that it did not ask for");
    if (const auto* row = std::get_if<optional_row>(&result))
        on_row(*row);
    else
        on_no_answer();
}

void sheet_submission::on_commit(const cloud::commit_result& result)
{
    if (m_state != state::committing)
        throw std::logic_error("sheet submission got an answer to a transaction that it did not ask for");
    if (std::holds_alternative<cloud::table_committed>(result))
        return end(submission_accepted{m_new_version});
    if (const auto* conflict = std::get_if<cloud::table_conflict>(&result))
        return on_conflict(*conflict);
    if (std::holds_alternative<cloud::table_unavailable>(result))
        return end_unresolved(unresolved_reason::table_unreachable);
    m_may_take_effect = true;
    read_back();
}

void sheet_submission::on_row(const optional_row& row)
{
    switch (m_state) {
    case state::reading_current:
        on_current(row);
        break;
    case state::reading_submission:
        on_submission(row);
        break;
    case state::reading_back_current:
        on_current_read_back(row);
        break;
    case state::reading_back_submission:
        on_submission_read_back(row);
        break;
    case state::reading_winner:
        on_winner(row);
        break;
    case state::committing:
    case state::ended:
        break;
    }
}

void sheet_submission::on_no_answer()
{
    switch (m_state) {
    case state::reading_back_current:
    case state::reading_back_submission:
        read_back();
        break;
    case state::reading_winner:
        on_winner(std::nullopt);
        break;
    default:
        end_unresolved(unresolved_reason::table_unreachable);
        break;
    }
}

void sheet_submission::on_current(const optional_row& row)
{
    const auto version = current_version_of(row);
    if (!version)
        return end_unresolved(unresolved_reason::malformed_row);
    m_current_version = *version;
    m_current_row_version = row ? row->version : 0;
    read(state::reading_submission, submission_key(m_submission));
}

void sheet_submission::on_submission(const optional_row& row)
{
    // An operator who repeats a submission under the same id gets the result of the first one.
    if (row)
        return on_submission_found(*row);
    if (m_base_version && *m_base_version != m_current_version)
        return read_winner(m_current_version);
    commit();
}

void sheet_submission::on_current_read_back(const optional_row& row)
{
    const auto version = current_version_of(row);
    if (!version)
        return end_unresolved(unresolved_reason::malformed_row);
    m_has_moved_on = (row ? row->version : 0) != m_current_row_version;
    m_winner_version = *version;
    read(state::reading_back_submission, submission_key(m_submission));
}

void sheet_submission::on_submission_read_back(const optional_row& row)
{
    if (row)
        return on_submission_found(*row);
    if (m_has_moved_on)
        return read_winner(m_winner_version);
    read_back();
}

void sheet_submission::on_winner(const optional_row& row)
{
    submission_conflict conflict{.winner_version = m_winner_version, .difference = std::nullopt};
    if (row) {
        try {
            conflict.difference = compare_sheets(parse_sheet(row->value), m_sheet);
        } catch (const sheet_error&) {
            // A later version of the program may have accepted rows that this one does not know.
            conflict.difference = std::nullopt;
        }
    }
    end(std::move(conflict));
}

void sheet_submission::on_submission_found(const cloud::table_row& row)
{
    const auto record = parse_submission_record(row.value);
    if (!record)
        return end_unresolved(unresolved_reason::malformed_row);
    if (record->text_digest != m_digest)
        return read_winner(record->version); // The id was used for another sheet.
    end(submission_accepted{record->version});
}

void sheet_submission::on_conflict(const cloud::table_conflict& conflict)
{
    // The submission row decides first: if an adapter's transport sent the transaction twice, the second copy
    // conflicts with the first.
    for (const auto& [index, row] : conflict.rows) {
        if (row && row->key == submission_key(m_submission))
            return on_submission_found(*row);
    }
    for (const auto& [index, row] : conflict.rows) {
        if (!row || row->key != current_key)
            continue;
        if (const auto version = parse_version(row->value))
            return read_winner(*version);
    }
    read_back();
}

void sheet_submission::commit()
{
    const auto absent = cloud::write_condition(cloud::require_absent{});
    m_new_version = next_version(m_current_version, m_era);
    const auto unchanged = m_current_row_version == 0
                               ? absent
                               : cloud::write_condition(cloud::require_version{m_current_row_version});
    m_state = state::committing;
    m_next = cloud::table_transaction{
        {{.key = version_key(m_new_version), .value = m_text, .condition = absent},
         {.key = submission_key(m_submission),
          .value = to_value({.version = m_new_version, .text_digest = m_digest}),
          .condition = absent},
         {.key = std::string(current_key), .value = std::to_string(m_new_version), .condition = unchanged}}};
}

void sheet_submission::read_back()
{
    if (m_read_backs == max_read_backs)
        return end_unresolved(unresolved_reason::table_unreachable);
    const auto delay =
        m_read_backs == 0 ? milliseconds{0} : first_read_back_delay * (1 << (m_read_backs - 1));
    ++m_read_backs;
    read(state::reading_back_current, std::string(current_key), delay);
}

void sheet_submission::read_winner(std::uint64_t version)
{
    m_winner_version = version;
    read(state::reading_winner, version_key(version));
}

void sheet_submission::read(state next_state, std::string key, milliseconds delay)
{
    m_state = next_state;
    m_next = read_row{.key = std::move(key), .delay = delay};
}

void sheet_submission::end(submission_result result)
{
    m_state = state::ended;
    m_next = std::move(result);
}

void sheet_submission::end_unresolved(unresolved_reason reason)
{
    end(submission_unresolved{.reason = reason, .certainly_without_effect = !m_may_take_effect});
}

} // namespace siskinwharf::sheet
