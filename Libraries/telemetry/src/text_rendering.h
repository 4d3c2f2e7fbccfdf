#pragma once

#include <string>
#include <string_view>

#include "siskinwharf/telemetry/latency_histograms.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::telemetry {

/// `{a="x",b="y"}` with escaped values, or nothing for no labels.
[[nodiscard]] std::string render_labels(const label_list& labels);

/// Appends the `# HELP` and `# TYPE` lines of a metric.
void append_header(std::string& text, std::string_view name, std::string_view help, std::string_view type);

/// Name of the Prometheus histogram of a latency.
[[nodiscard]] std::string histogram_name(latency kind);

/// Appends the buckets, sum and count of one histogram; one bucket for each octave.
void append_histogram(std::string& text, latency kind, const label_list& labels,
                      const latency_histograms& histograms);

/// Header of the table and one of its rows.
[[nodiscard]] std::string table_header();
void append_table_row(std::string& text, std::string_view account, std::string_view request_class,
                      latency kind, const latency_histograms& histograms);

} // namespace siskinwharf::telemetry
