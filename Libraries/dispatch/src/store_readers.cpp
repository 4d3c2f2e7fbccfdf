#include "siskinwharf/dispatch/store_readers.h"

#include <algorithm>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// One of them may fail without being noticed at once.
constexpr std::ptrdiff_t readers = 2;

bool is_fresh(const reader_candidate& candidate)
{
    return candidate.is_reading && candidate.answer_age <= oldest_reader_answer;
}

} // namespace

bool is_store_reader(const instance_id& self, const std::vector<reader_candidate>& others)
{
    if (others.size() + 1 < smallest_shared_domain)
        return true;
    const auto own_rank = hash64(self.value());
    const auto before = std::ranges::count_if(others, [&](const reader_candidate& other) {
        const bool is_cut_off = other.is_reading && !is_fresh(other);
        return !is_cut_off && hash64(other.process.value()) < own_rank;
    });
    return before < readers || std::ranges::count_if(others, is_fresh) < readers;
}

} // namespace siskinwharf::dispatch
