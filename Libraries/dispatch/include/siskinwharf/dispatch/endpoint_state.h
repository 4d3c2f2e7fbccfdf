#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// Model of an engine's prefix cache: the prompt parts that the engine probably has cached, derived from this
/// process's own requests. The least recently used parts are evicted when their tokens exceed the capacity.
class prefix_cache_model {
public:
    /// Tokens at the start of the prompt that are in the cache.
    [[nodiscard]] std::uint64_t cached_tokens(const std::vector<prompt_part>& parts) const;
    /// Inserts the parts of a prompt or marks them as recently used, then evicts down to the capacity.
    void add(const std::vector<prompt_part>& parts, std::uint64_t capacity_tokens);

private:
    struct entry {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::list<std::uint64_t> m_recent; ///< Most recently used first.
    std::uint64_t m_tokens = 0;
};

/// How an attempt at an endpoint ended.
enum class attempt_result {
    answered,     ///< The endpoint sent a complete response.
    error_answer, ///< The endpoint responded with an error of its own.
    rejected,     ///< The endpoint reported that it did not run the request.
    broken,       ///< The connection was closed or the response was invalid.
    unreachable,  ///< No connection could be established.
    silent,       ///< The endpoint was silent towards all requests of this process for too long.
    cancelled,    ///< This process aborted the attempt.
};

/// State of an endpoint as known to this process. "Own" refers to requests of this process; the peer values
/// come from the loads that peers report.
struct endpoint_state {
    endpoint_record record;
    std::uint64_t id_hash = 0;         ///< Hash of the endpoint's id.
    std::uint32_t running = 0;         ///< Own running requests.
    std::uint64_t waiting_tokens = 0;  ///< Own prompt tokens of requests without a first event.
    std::uint64_t reserved_tokens = 0; ///< Prompt and maximum answer tokens of all own running requests.
    std::uint32_t peers_running = 0;
    std::uint64_t peers_waiting_tokens = 0;
    speed_evidence speed;                   ///< Own measurements.
    speed_evidence peers_speed;             ///< Measurements of peers.
    double slowdown = 1;                    ///< Factor of the time to the first event, as of the last update.
    double failure_rate = 0;                ///< Moving average of attempts that failed, 0 to 1.
    std::uint32_t consecutive_failures = 0; ///< Broken or refused connections since the last response.
    monotonic_time backoff_until{};         ///< Until then the endpoint is used only if there is no other.
    prefix_cache_model cache;
};

} // namespace siskinwharf::dispatch
