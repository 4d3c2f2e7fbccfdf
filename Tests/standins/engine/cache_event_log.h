#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <boost/json.hpp>

#include "engine_options.h"
#include "prefix_cache.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// Cache events as the engine publishes them: late, and some never. Numbers of lost events are not reused.
class cache_event_log {
public:
    explicit cache_event_log(const engine_options& options) : m_options(options) {}

    void append(const std::vector<cache_change>& changes, monotonic_time now);
    /// Body of `GET /cache-events`: events numbered above `after` that are old enough.
    [[nodiscard]] boost::json::object read(std::uint64_t after, monotonic_time now) const;

private:
    struct entry {
        std::uint64_t sequence = 0;
        cache_change change{};
        monotonic_time time{};
    };

    engine_options m_options;
    std::deque<entry> m_entries;
    std::uint64_t m_last_sequence = 0;
};

} // namespace siskinwharf::standins
