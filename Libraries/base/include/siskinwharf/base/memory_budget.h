#pragma once

#include <cstdint>
#include <memory>
#include <mutex>

#include "siskinwharf/base/time.h"

namespace siskinwharf {

/// What memory is taken for. Each use leaves a part of the budget to the uses after it, so that a few large
/// bodies do not keep out ordinary requests.
enum class memory_use {
    body,    ///< A large body of a request that has not been passed on.
    answer,  ///< A part of an answer to a request that has been passed on.
    request, ///< A connection, or a request with its head and a short body.
};

/// Bound on the memory of all that is read or held for callers and endpoints. May be used from several
/// threads.
class memory_budget {
public:
    explicit memory_budget(std::uint64_t limit_bytes) : m_limit(limit_bytes) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    memory_budget(memory_budget&&) = delete;
    memory_budget& operator=(memory_budget&&) = delete;
    ~memory_budget() = default;

    /// Takes memory. Returns false, and takes nothing, if it would exceed what this use may take.
    [[nodiscard]] bool try_take(std::uint64_t bytes, memory_use use, monotonic_time now);
    void give_back(std::uint64_t bytes, monotonic_time now);
    /// One owner at a time may keep what it has and wait for more; the others give theirs back. If all
    /// waited, none would get what it lacks. Returns false while another one waits.
    [[nodiscard]] bool try_begin_wait();
    void end_wait();
    /// Counts a request or a connection that was refused for want of memory.
    void count_refusal();

    [[nodiscard]] std::uint64_t limit() const { return m_limit; }
    [[nodiscard]] std::uint64_t held() const;
    [[nodiscard]] std::uint64_t refusals() const;
    /// Time after which as much memory has been given back as a request of this size lacks, at the rate at
    /// which it was given back lately.
    [[nodiscard]] milliseconds retry_after(std::uint64_t bytes, memory_use use, monotonic_time now) const;

    /// Bounds of `retry_after`. The longer one is also its value while nothing is given back.
    static constexpr milliseconds shortest_retry_after{100};
    static constexpr milliseconds longest_retry_after{2'000};

private:
    /// Time over which the rate of memory given back is measured, in two halves.
    static constexpr milliseconds half_window{1'000};

    [[nodiscard]] std::uint64_t limit_of(memory_use use) const;
    void advance(monotonic_time now);

    const std::uint64_t m_limit;
    mutable std::mutex m_mutex;
    std::uint64_t m_held = 0;
    std::uint64_t m_refusals = 0;
    bool m_has_waiter = false;
    bool m_is_used_up = false; ///< Something could not be taken since less than half was held.
    monotonic_time m_half_began{};
    std::uint64_t m_returned = 0;        ///< Bytes given back in the present half of the window.
    std::uint64_t m_returned_before = 0; ///< Bytes given back in the half before.
};

/// Part of a budget that one owner holds, and that returns to it with the owner.
class memory_share {
public:
    memory_share() = default;
    /// A share of nothing yet. Without a budget every size is allowed.
    explicit memory_share(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget)) {}
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    ~memory_share() { release(); }

    /// Makes the share larger or smaller. Returns false, and changes nothing, if the budget has not enough.
    [[nodiscard]] bool try_resize(std::uint64_t bytes, memory_use use);
    /// Gives all back.
    void release();
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_budget> m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace siskinwharf
