#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// How long the engines of a service take from the first event of an answer to its last, for each token that
/// the request allows. Keeps the newest answers only.
class answer_pace {
public:
    /// `answer_tokens` is the upper bound that the request set, which the answer need not have reached.
    void add(milliseconds taken, std::uint64_t answer_tokens);
    /// Upper estimate from the slowest answer kept, with room for more load; nothing before the first answer.
    [[nodiscard]] std::optional<milliseconds> longest(std::uint64_t answer_tokens) const;

private:
    static constexpr std::size_t kept_answers = 64;

    std::array<double, kept_answers> m_ms_per_token{};
    std::size_t m_count = 0;
};

} // namespace siskinwharf::dispatch
