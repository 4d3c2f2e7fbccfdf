#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/telemetry/latency_histograms.h"

namespace siskinwharf::telemetry {

/// A number that only rises. Each has a cache line of its own, so that threads that raise different counters
/// do not slow each other down.
class alignas(64) counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A number that is set.
class alignas(64) gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Names and values of labels, in the order in which they are written.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// The metrics of one process. Looking up a metric takes a lock; callers keep what they got and record
/// through it without one. The number of series is bounded: further ones share a series whose label values
/// are `other`.
class metrics_registry {
public:
    /// Largest number of pairs of account and class; their histograms take 6 KB each, 3 MB together.
    static constexpr std::size_t max_histogram_series = 512;
    /// Largest number of label combinations of one counter or gauge.
    static constexpr std::size_t max_series_per_metric = 512;

    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;
    ~metrics_registry();

    /// The histograms of an account and a class of requests (a model or service).
    [[nodiscard]] std::shared_ptr<latency_histograms> histograms(const account_id& account,
                                                                 std::string_view request_class);

    /// The counter or gauge of this name and these labels. Throw `std::invalid_argument` if a name is not
    /// `[a-zA-Z_][a-zA-Z0-9_]*`, or if the metric's name is in use for a metric of another type.
    [[nodiscard]] std::shared_ptr<counter> find_counter(std::string_view name, std::string_view help,
                                                        const label_list& labels = {});
    [[nodiscard]] std::shared_ptr<gauge> find_gauge(std::string_view name, std::string_view help,
                                                    const label_list& labels = {});

    /// Forgets histograms that nobody but the registry holds, so that accounts removed from the sheet make
    /// room for others.
    void drop_unused_histograms();

    /// All metrics in the Prometheus text format 0.0.4.
    [[nodiscard]] std::string render_prometheus() const;

    /// One row for each account, class and latency with count and quantiles in milliseconds.
    [[nodiscard]] std::string render_table() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace siskinwharf::telemetry
