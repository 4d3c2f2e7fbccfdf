#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinwharf::cli {

/// Sorted measurements in milliseconds.
class latency_sample {
public:
    void add(double milliseconds) { m_values.push_back(milliseconds); }
    [[nodiscard]] std::size_t count() const { return m_values.size(); }
    /// The value below which this share of the measurements lies; 0 without measurements.
    [[nodiscard]] double quantile(double share) const;

private:
    std::vector<double> m_values;
};

/// How the load was answered.
struct load_report {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;   ///< Whole and correct answers.
    std::uint64_t late = 0;    ///< Whole answers after the deadline.
    std::uint64_t lost = 0;    ///< Accepted, but the answer never became whole.
    std::uint64_t wrong = 0;   ///< A token was missing, doubled, out of order or of another answer.
    std::uint64_t refused = 0; ///< Refused as `not_run` on every try.
    std::uint64_t resumed = 0; ///< Answers that were resumed at least once.
    std::uint64_t retried = 0; ///< Resends after a refusal.
    std::uint64_t calls = 0;   ///< Non-idempotent calls.
    std::uint64_t calls_done = 0;
    std::uint64_t calls_not_run = 0;
    std::uint64_t calls_unknown = 0;
    std::uint64_t doubled = 0;       ///< Calls that ran more than once.
    std::uint64_t false_not_run = 0; ///< Calls that ran although the caller was told `not_run`.
    std::uint64_t false_done = 0;    ///< Calls that did not run although the caller was told they did.
    std::uint64_t tokens = 0;
    latency_sample first_token;          ///< From the first try, with the time of all refused ones.
    latency_sample admitted_first_token; ///< From the try that was admitted.
    latency_sample between_tokens;
    latency_sample whole_answer;
    latency_sample call; ///< Non-idempotent calls that were done, from the first send, with all resends.
    std::map<std::string, latency_sample> first_token_by_account;
    std::map<std::string, std::uint64_t> refusals; ///< By type.

    /// Whether every promise held that the load can check.
    [[nodiscard]] bool holds() const
    {
        return lost == 0 && wrong == 0 && doubled == 0 && false_not_run == 0 && false_done == 0;
    }
};

/// A table for people.
[[nodiscard]] std::string to_table(const load_report& report);
/// One JSON object, for comparing runs.
[[nodiscard]] std::string to_json(const load_report& report);

} // namespace siskinwharf::cli
