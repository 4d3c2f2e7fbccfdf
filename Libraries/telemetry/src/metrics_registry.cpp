#include "siskinwharf/telemetry/metrics_registry.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>
#include <variant>

#include <fmt/format.h>

#include "text_rendering.h"

namespace siskinwharf::telemetry {

namespace {

/// Label value of the series that all series beyond the limit share.
constexpr std::string_view overflow_label = "other";

void check_name(std::string_view name)
{
    const auto is_letter = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               character == '_';
    };
    const auto is_allowed = [&](char character) {
        return is_letter(character) || (character >= '0' && character <= '9');
    };
    if (name.empty() || !is_letter(name.front()) || !std::all_of(name.begin(), name.end(), is_allowed))
        throw std::invalid_argument(
            fmt::format("metric or label name: found \"{}\", allowed [a-zA-Z_][a-zA-Z0-9_]*", name));
}

template<typename Value>
using series_map = std::map<label_list, std::shared_ptr<Value>>;

struct metric {
    std::string help;
    std::variant<series_map<counter>, series_map<gauge>> series;
};

struct histogram_key {
    std::string account;
    std::string request_class;

    auto operator<=>(const histogram_key&) const = default;
};

} // namespace

struct metrics_registry::implementation {
    template<typename Value>
    std::shared_ptr<Value> find(std::string_view name, std::string_view help, label_list labels)
    {
        check_name(name);
        for (const auto& label : labels)
            check_name(label.first);
        const std::lock_guard lock(mutex);
        const auto [found, is_new] = metrics.try_emplace(std::string(name));
        if (is_new)
            found->second = {.help = std::string(help), .series = series_map<Value>()};
        auto* const series = std::get_if<series_map<Value>>(&found->second.series);
        if (series == nullptr)
            throw std::invalid_argument(fmt::format("metric {}: is of another type already", name));
        if (series->size() >= max_series_per_metric && !series->contains(labels)) {
            for (auto& label : labels)
                label.second = overflow_label;
        }
        auto& value = (*series)[labels];
        if (!value)
            value = std::make_shared<Value>();
        return value;
    }

    mutable std::mutex mutex;
    std::map<std::string, metric> metrics;
    std::map<histogram_key, std::shared_ptr<latency_histograms>> histograms;
};

metrics_registry::metrics_registry() : m_implementation(std::make_unique<implementation>()) {}

metrics_registry::~metrics_registry() = default;

std::shared_ptr<latency_histograms> metrics_registry::histograms(const account_id& account,
                                                                 std::string_view request_class)
{
    histogram_key key{.account = account.value(), .request_class = std::string(request_class)};
    const std::lock_guard lock(m_implementation->mutex);
    auto& all = m_implementation->histograms;
    if (all.size() >= max_histogram_series && !all.contains(key))
        key = {.account = std::string(overflow_label), .request_class = std::string(overflow_label)};
    auto& found = all[key];
    if (!found)
        found = std::make_shared<latency_histograms>();
    return found;
}

std::shared_ptr<counter> metrics_registry::find_counter(std::string_view name, std::string_view help,
                                                        const label_list& labels)
{
    return m_implementation->find<counter>(name, help, labels);
}

std::shared_ptr<gauge> metrics_registry::find_gauge(std::string_view name, std::string_view help,
                                                    const label_list& labels)
{
    return m_implementation->find<gauge>(name, help, labels);
}

void metrics_registry::drop_unused_histograms()
{
    const std::lock_guard lock(m_implementation->mutex);
    // Copies are made from the registry's own under this lock, or from another holder's. A count of one
    // therefore cannot rise here.
    std::erase_if(m_implementation->histograms,
                  [](const auto& entry) { return entry.second.use_count() == 1; });
}

std::string metrics_registry::render_prometheus() const
{
    const std::lock_guard lock(m_implementation->mutex);
    std::string text;
    for (const auto& [name, entry] : m_implementation->metrics) {
        append_header(text, name, entry.help,
                      std::holds_alternative<series_map<counter>>(entry.series) ? "counter" : "gauge");
        std::visit(
            [&text, &metric_name = name](const auto& series) {
                for (const auto& [labels, value] : series)
                    text += fmt::format("{}{} {}\n", metric_name, render_labels(labels), value->value());
            },
            entry.series);
    }
    if (m_implementation->histograms.empty())
        return text;
    for (const latency kind : all_latencies) {
        append_header(text, histogram_name(kind), "Latency by account and class.", "histogram");
        for (const auto& [key, histograms] : m_implementation->histograms)
            append_histogram(text, kind, {{"account", key.account}, {"class", key.request_class}},
                             *histograms);
    }
    return text;
}

std::string metrics_registry::render_table() const
{
    const std::lock_guard lock(m_implementation->mutex);
    std::string text = table_header();
    for (const auto& [key, histograms] : m_implementation->histograms) {
        for (const latency kind : all_latencies)
            append_table_row(text, key.account, key.request_class, kind, *histograms);
    }
    return text;
}

} // namespace siskinwharf::telemetry
