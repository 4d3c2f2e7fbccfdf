#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "siskinwharf/base/time.h"
#include "siskinwharf/cloud/table.h"
#include "siskinwharf/sheet/sheet.h"
#include "siskinwharf/sheet/sheet_difference.h"

namespace siskinwharf::sheet {

/// The sheet is accepted under this version.
struct submission_accepted {
    std::uint64_t version = 0;

    auto operator<=>(const submission_accepted&) const = default;
};

/// Another sheet was accepted; the submitted one was not and will not be.
struct submission_conflict {
    std::uint64_t winner_version = 0; ///< 0 if a version was expected but the table has none.
    /// From the winner to the submitted sheet; missing if the winner's text could not be read.
    std::optional<sheet_difference> difference;

    auto operator<=>(const submission_conflict&) const = default;
};

/// Why a submission was given up.
enum class unresolved_reason {
    table_unreachable,
    malformed_row, ///< A row of the table is not in the format of this version of the program.
};

/// It is not known whether the sheet was accepted, or the table could not be asked at all.
struct submission_unresolved {
    unresolved_reason reason = unresolved_reason::table_unreachable;
    /// Whether no transaction of this object took effect or will. Earlier submissions under the same id by
    /// another object are not covered.
    bool certainly_without_effect = false;

    auto operator<=>(const submission_unresolved&) const = default;
};

using submission_result = std::variant<submission_accepted, submission_conflict, submission_unresolved>;

/// Read this row after the delay, then call `on_read`.
struct read_row {
    std::string key;
    milliseconds delay{0};

    auto operator<=>(const read_row&) const = default;
};

/// What the adapter does next: read a row, commit a transaction, or report the result.
using submission_step = std::variant<read_row, cloud::table_transaction, submission_result>;

/// Decides how one sheet is accepted. A state machine without I/O: the adapter executes `next()` and passes
/// the answer to `on_read` or `on_commit` until `next()` is a result.
///
/// Acceptance is one conditional transaction, committed at most once by each object. If its answer is lost,
/// the machine reads back instead of writing again. It reads `sheet/current` before `submission/<id>`: only a
/// submission row that is missing after the current version has moved on proves that the transaction can no
/// longer take effect. In the other order the transaction could take effect between the two reads. The same
/// holds for the first two reads, since an earlier object under the same id may have been lost with its
/// process.
class sheet_submission {
public:
    /// Delay before the first repeated read-back; doubles with each further one.
    static constexpr milliseconds first_read_back_delay{200};
    /// Read-backs before the submission is given up as unresolved, after 6.2 s of delays.
    static constexpr int max_read_backs = 6;

    /// Throws `sheet_error` if the text is not a valid sheet and `std::invalid_argument` if `submission` is
    /// not 1 to 63 of a-z, 0-9, '.', '_' and '-'. With a base version, any other current version is a
    /// conflict; without one, only a sheet accepted between this object's read and its transaction is.
    sheet_submission(std::string text, std::string submission,
                     std::optional<std::uint64_t> base_version = std::nullopt);

    [[nodiscard]] const submission_step& next() const { return m_next; }

    /// Takes the era that the table's newest answer names, before that answer is passed on.
    void observe_era(std::uint64_t era) { m_era = era; }
    /// Answers to the step. Throw `std::logic_error` if the step is of another kind.
    void on_read(const cloud::read_result& result);
    void on_commit(const cloud::commit_result& result);

private:
    enum class state {
        reading_current,
        reading_submission,
        committing,
        reading_back_current,
        reading_back_submission,
        reading_winner,
        ended,
    };
    using optional_row = std::optional<cloud::table_row>;

    void read(state next_state, std::string key, milliseconds delay = milliseconds{0});
    void end(submission_result result);
    void end_unresolved(unresolved_reason reason);
    void on_row(const optional_row& row);
    void on_no_answer();
    void on_current(const optional_row& row);
    void on_submission(const optional_row& row);
    void on_current_read_back(const optional_row& row);
    void on_submission_read_back(const optional_row& row);
    void on_winner(const optional_row& row);
    void on_submission_found(const cloud::table_row& row);
    void on_conflict(const cloud::table_conflict& conflict);
    void commit();
    void read_back();
    void read_winner(std::uint64_t version);

    std::string m_text;
    sheet m_sheet;
    std::string m_submission;
    std::string m_digest;
    std::optional<std::uint64_t> m_base_version;
    state m_state = state::reading_current;
    submission_step m_next;
    std::uint64_t m_era = 0;
    std::uint64_t m_current_version = 0;
    std::uint64_t m_new_version = 0; ///< That the sheet gets if it is accepted.
    std::uint64_t m_current_row_version = 0;
    std::uint64_t m_winner_version = 0;
    bool m_has_moved_on = false;
    bool m_may_take_effect = false;
    int m_read_backs = 0;
};

} // namespace siskinwharf::sheet
