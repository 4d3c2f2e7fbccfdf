#include "siskinwharf/dispatch/store_readers.h"

#include <algorithm>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// Readers in a failure domain. With two, a failure of one that is not detected at once causes no gap.
constexpr std::ptrdiff_t readers_per_domain = 2;

bool is_working_reader(const store_reader_candidate& candidate)
{
    return candidate.is_reading && candidate.store_response_age <= maximum_reader_staleness &&
           candidate.silence <= maximum_reader_silence;
}

} // namespace

bool is_store_reader(const instance_id& self, const std::vector<store_reader_candidate>& others)
{
    if (others.size() + 1 < minimum_shared_domain_size)
        return true;
    const auto own_rank = hash64(self.value());
    const auto before = std::ranges::count_if(others, [&](const store_reader_candidate& other) {
        const bool is_stale_reader = other.is_reading && !is_working_reader(other);
        return !is_stale_reader && hash64(other.process.value()) < own_rank;
    });
    return before < readers_per_domain ||
           std::ranges::count_if(others, is_working_reader) < readers_per_domain;
}

} // namespace siskinwharf::dispatch
