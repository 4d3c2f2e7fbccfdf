#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// Prompt parts that an engine probably keeps, as far as this process's own requests tell. The least recently
/// used parts go first when the tokens exceed the engine's memory.
class prefix_cache_model {
public:
    /// Tokens at the start of the prompt that the engine need not read again.
    [[nodiscard]] std::uint64_t cached_tokens(const std::vector<prompt_part>& parts) const;
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
    answered,     ///< Whole answer of the endpoint.
    error_answer, ///< The endpoint answered with a failure of its own.
    rejected,     ///< The endpoint said that it did not run the request.
    broken,       ///< The connection ended or the answer was not valid.
    unreachable,  ///< No connection.
    cancelled,    ///< This process gave up.
};

/// What this process believes of one endpoint.
struct endpoint_state {
    endpoint_record record;
    std::uint32_t running = 0;         ///< Own requests.
    std::uint64_t waiting_tokens = 0;  ///< Own prompt tokens without a first event.
    std::uint64_t reserved_tokens = 0; ///< Own prompt and answer tokens of all running requests.
    std::uint32_t peers_running = 0;
    std::uint64_t peers_waiting_tokens = 0;
    double failure_rate = 0;                ///< Moving average of attempts that failed, 0 to 1.
    std::uint32_t consecutive_failures = 0; ///< Broken or refused connections without an answer in between.
    monotonic_time backoff_until{};
    prefix_cache_model cache;
};

} // namespace siskinwharf::dispatch
