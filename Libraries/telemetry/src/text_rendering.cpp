#include "text_rendering.h"

#include <cmath>
#include <iterator>

#include <fmt/format.h>

namespace siskinwharf::telemetry {

namespace {

constexpr double nanoseconds_per_second = 1e9;
constexpr double nanoseconds_per_millisecond = 1e6;

/// Escapes as the text format demands; `is_quoted` for label values, which may also hold quotes.
std::string escape(std::string_view value, bool is_quoted)
{
    std::string result;
    for (const char character : value) {
        if (character == '\n') {
            result.append("\\n");
            continue;
        }
        if (character == '\\' || (is_quoted && character == '"'))
            result.push_back('\\');
        result.push_back(character);
    }
    return result;
}

label_list with_bucket(label_list labels, std::string limit)
{
    labels.emplace_back("le", std::move(limit));
    return labels;
}

} // namespace

std::string render_labels(const label_list& labels)
{
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const auto& [name, value] : labels)
        fmt::format_to(std::back_inserter(text), "{}{}=\"{}\"", text.size() > 1 ? "," : "", name,
                       escape(value, true));
    text.push_back('}');
    return text;
}

void append_header(std::string& text, std::string_view name, std::string_view help, std::string_view type)
{
    fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, escape(help, false), name,
                   type);
}

std::string histogram_name(latency kind)
{
    return fmt::format("siskinwharf_{}_seconds", to_string(kind));
}

void append_histogram(std::string& text, latency kind, const label_list& labels,
                      const latency_histograms& histograms)
{
    const auto snapshot = histograms.take_snapshot(kind);
    const std::string name = histogram_name(kind);
    const auto append = [&text, &name](std::string_view suffix, const label_list& with, auto value) {
        fmt::format_to(std::back_inserter(text), "{}{}{} {}\n", name, suffix, render_labels(with), value);
    };
    for (std::size_t index = 0; index < snapshot.below.size(); ++index) {
        const double limit = std::exp2(latency_histograms::lowest_exponent + static_cast<int>(index));
        append("_bucket", with_bucket(labels, fmt::format("{}", limit)), snapshot.below[index]);
    }
    append("_bucket", with_bucket(labels, "+Inf"), snapshot.count);
    append("_sum", labels, static_cast<double>(snapshot.sum.count()) / nanoseconds_per_second);
    append("_count", labels, snapshot.count);
}

std::string table_header()
{
    return fmt::format("{:<24} {:<24} {:<14} {:>10} {:>10} {:>10} {:>10}\n", "account", "class", "latency",
                       "count", "p50 ms", "p95 ms", "p99 ms");
}

void append_table_row(std::string& text, std::string_view account, std::string_view request_class,
                      latency kind, const latency_histograms& histograms)
{
    const auto quantile = [&](double share) {
        const auto value = histograms.quantile(kind, share).value_or(nanoseconds{0});
        return static_cast<double>(value.count()) / nanoseconds_per_millisecond;
    };
    fmt::format_to(std::back_inserter(text), "{:<24} {:<24} {:<14} {:>10} {:>10.1f} {:>10.1f} {:>10.1f}\n",
                   account, request_class, to_string(kind), histograms.take_snapshot(kind).count,
                   quantile(0.5), quantile(0.95), quantile(0.99));
}

} // namespace siskinwharf::telemetry
