#pragma once

#include <compare>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// What a process knows of another one of its failure domain that may read the platform's store.
struct store_reader_candidate {
    instance_id process;
    bool is_reading = false;
    milliseconds store_response_age{
        0}; ///< Since the store last answered the process; counts if it is reading.

    auto operator<=>(const store_reader_candidate&) const = default;
};

/// Longest age of the store's last answer at a process that others rely on: a reader's calls wait for 1 s,
/// its messages come each 250 ms, and a change has to be known within 3 s.
inline constexpr milliseconds maximum_reader_staleness{1'600};

/// Smaller failure domains save nothing: each process reads the store.
inline constexpr std::size_t minimum_shared_domain_size = 5;

/// Whether `self` reads the store's changes itself, or hears of them from the readers of its failure domain.
/// Two processes read, picked by a hash without agreement; if the store does not answer one of them, or it is
/// not heard, others read until there are two again. Several that read at once do no harm.
[[nodiscard]] bool is_store_reader(const instance_id& self,
                                   const std::vector<store_reader_candidate>& others);

} // namespace siskinwharf::dispatch
