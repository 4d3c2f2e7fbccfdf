#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// How long the engines of a service take from the first event of an answer, for each token that the request
/// allows. Knows the newest answers that have ended, in whatever way, and those that are running: the answers
/// that end first are the short ones.
class answer_pace {
public:
    using answer_number = std::uint64_t;

    /// An answer has its first event. `answer_tokens` is the upper bound that the request set, which the
    /// answer need not reach; 0 if it set none.
    [[nodiscard]] answer_number begin(std::uint64_t answer_tokens, monotonic_time now);
    void end(answer_number answer, monotonic_time now);
    /// Expected time from the first event to the last; nothing if too little is known.
    [[nodiscard]] std::optional<milliseconds> expected(std::uint64_t answer_tokens, monotonic_time now) const;

private:
    struct running_answer {
        monotonic_time since{};
        std::uint64_t answer_tokens = 0;
    };
    struct ended_answer {
        double taken_ms = 0;
        std::uint64_t answer_tokens = 0;
    };

    static constexpr std::size_t kept_answers = 64;

    std::array<ended_answer, kept_answers> m_ended{};
    std::size_t m_ended_count = 0;
    answer_number m_last = 0;
    std::unordered_map<answer_number, running_answer> m_running;
};

} // namespace siskinwharf::dispatch
