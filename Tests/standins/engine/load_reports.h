#pragma once

#include <cstdint>
#include <deque>

#include <boost/json.hpp>

#include "engine_options.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// What a load report says.
struct load_sample {
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;
    std::uint64_t cached_blocks = 0;
    bool leaving = false;
};

/// Load reports that show the engine as it was some time ago.
class load_reports {
public:
    explicit load_reports(const engine_options& options) : m_options(options) {}

    /// Records a change of the load, and the tokens decoded since the last change.
    void record(const load_sample& sample, std::uint64_t decoded, monotonic_time now);
    /// Body of `GET /load`.
    [[nodiscard]] boost::json::object report(monotonic_time now) const;

private:
    struct entry {
        load_sample sample{};
        std::uint64_t decoded = 0;
        std::uint64_t sequence = 0;
        monotonic_time time{};
    };

    engine_options m_options;
    std::deque<entry> m_entries;
    std::uint64_t m_sequence = 0;
};

} // namespace siskinwharf::standins
