#include "siskinwharf/dispatch/store_readers.h"

#include <algorithm>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// One of them may fail without being noticed at once.
constexpr std::ptrdiff_t readers = 2;

bool is_fresh(const store_reader_candidate& candidate)
{
    return candidate.is_reading && candidate.store_response_age <= maximum_reader_staleness;
}

} // namespace

bool is_store_reader(const instance_id& self, const std::vector<store_reader_candidate>& others)
{
    if (others.size() + 1 < minimum_shared_domain_size)
        return true;
    const auto own_rank = hash64(self.value());
    const auto before = std::ranges::count_if(others, [&](const store_reader_candidate& other) {
        const bool is_cut_off = other.is_reading && !is_fresh(other);
        return !is_cut_off && hash64(other.process.value()) < own_rank;
    });
    return before < readers || std::ranges::count_if(others, is_fresh) < readers;
}

} // namespace siskinwharf::dispatch
