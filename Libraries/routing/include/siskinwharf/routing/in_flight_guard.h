#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/endpoint_load.h"

namespace siskinwharf::routing {

/// Owns one slot of an endpoint. Releases it on `release` or destruction, from any thread, even if the
/// endpoint is no longer in the routing table. Movable.
class in_flight_guard {
public:
    in_flight_guard() = default;
    /// Takes ownership of a slot acquired by `endpoint_load::try_acquire_slot` with these token counts.
    in_flight_guard(std::shared_ptr<endpoint_load> load, std::uint64_t prompt_tokens,
                    std::uint64_t output_tokens, monotonic_time started_at)
        : m_load(std::move(load)),
          m_queued_tokens(prompt_tokens),
          m_tokens(prompt_tokens + output_tokens),
          m_queued_at_start(m_load->queued_prompt_tokens()),
          m_started_at(started_at)
    {
    }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    in_flight_guard(in_flight_guard&& other) noexcept = default;
    in_flight_guard& operator=(in_flight_guard&& other) noexcept
    {
        if (this == &other)
            return *this;
        release_at_latest_time();
        m_load = std::move(other.m_load);
        m_queued_tokens = other.m_queued_tokens;
        m_tokens = other.m_tokens;
        m_queued_at_start = other.m_queued_at_start;
        m_started_at = other.m_started_at;
        return *this;
    }
    ~in_flight_guard() { release_at_latest_time(); }

    [[nodiscard]] bool holds_slot() const { return m_load != nullptr; }

    /// Records the arrival of the first token. Later calls have no effect.
    void prefill_done(monotonic_time now)
    {
        if (!m_load || m_queued_tokens == 0)
            return;
        m_load->observe_prefill(m_queued_at_start, now - m_started_at);
        m_load->prefill_done(std::exchange(m_queued_tokens, 0));
    }

    /// Releases the slot. More precise than the destructor, which uses the latest time known to the
    /// endpoint's load.
    void release(monotonic_time now)
    {
        if (auto load = std::move(m_load))
            load->release_slot(now, m_queued_tokens, m_tokens);
    }

private:
    void release_at_latest_time()
    {
        if (auto load = std::move(m_load))
            load->release_slot_at_latest_time(m_queued_tokens, m_tokens);
    }

    std::shared_ptr<endpoint_load> m_load;
    std::uint64_t m_queued_tokens = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_queued_at_start = 0;
    monotonic_time m_started_at{};
};

} // namespace siskinwharf::routing
