#include "load_report.h"

#include <algorithm>
#include <cmath>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace siskinwharf::cli {

namespace {

constexpr double median = 0.5;
constexpr double percentile_95 = 0.95;
constexpr double percentile_99 = 0.99;

std::string latency_row(const char* name, const latency_sample& sample)
{
    return fmt::format("{:<28}{:>10.1f}{:>10.1f}{:>10.1f}{:>10}\n", name, sample.quantile(median),
                       sample.quantile(percentile_95), sample.quantile(percentile_99), sample.count());
}

boost::json::object latency_object(const latency_sample& sample)
{
    return {{"p50", sample.quantile(median)},
            {"p95", sample.quantile(percentile_95)},
            {"p99", sample.quantile(percentile_99)},
            {"count", sample.count()}};
}

} // namespace

double latency_sample::quantile(double share) const
{
    if (m_values.empty())
        return 0;
    auto sorted = m_values;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const auto index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
    return sorted[index];
}

std::string to_table(const load_report& report)
{
    const std::pair<const char*, std::uint64_t> rows[] = {
        {"requests", report.requests},
        {"whole answers", report.whole},
        {"late answers", report.late},
        {"lost", report.lost},
        {"wrong answers", report.wrong},
        {"refused (not_run)", report.refused},
        {"resumed", report.resumed},
        {"retried after refusal", report.retried},
        {"non-idempotent calls", report.calls},
        {"  done", report.calls_done},
        {"  not_run", report.calls_not_run},
        {"  unknown", report.calls_unknown},
        {"doubled", report.doubled},
        {"not_run, but ran", report.false_not_run},
        {"done, but did not run", report.false_done},
        {"tokens", report.tokens},
    };
    std::string table;
    for (const auto& [name, value] : rows)
        table += fmt::format("{:<28}{:>10}\n", name, value);
    for (const auto& [type, count] : report.refusals)
        table += fmt::format("  refusal {:<18}{:>10}\n", type, count);
    table += fmt::format("{:<28}{:>10}{:>10}{:>10}{:>10}\n", "latency in ms", "p50", "p95", "p99", "count");
    table += latency_row("first token", report.first_token);
    table += latency_row("first token, admitted", report.admitted_first_token);
    table += latency_row("between tokens", report.between_tokens);
    table += latency_row("whole answer", report.whole_answer);
    table += latency_row("call", report.call);
    for (const auto& [account, sample] : report.first_token_by_account)
        table += latency_row(("  first token " + account).c_str(), sample);
    return table;
}

std::string to_json(const load_report& report)
{
    boost::json::object body{
        {"requests", report.requests},
        {"whole", report.whole},
        {"late", report.late},
        {"lost", report.lost},
        {"wrong", report.wrong},
        {"refused", report.refused},
        {"resumed", report.resumed},
        {"retried", report.retried},
        {"calls", report.calls},
        {"calls_done", report.calls_done},
        {"calls_not_run", report.calls_not_run},
        {"calls_unknown", report.calls_unknown},
        {"doubled", report.doubled},
        {"false_not_run", report.false_not_run},
        {"false_done", report.false_done},
        {"tokens", report.tokens},
        {"first_token_ms", latency_object(report.first_token)},
        {"admitted_first_token_ms", latency_object(report.admitted_first_token)},
        {"between_tokens_ms", latency_object(report.between_tokens)},
        {"whole_answer_ms", latency_object(report.whole_answer)},
        {"call_ms", latency_object(report.call)},
    };
    return boost::json::serialize(body);
}

} // namespace siskinwharf::cli
