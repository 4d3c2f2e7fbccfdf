#pragma once

#include <compare>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// State of another process of the same failure domain that may read the platform's store, from its messages.
struct store_reader_candidate {
    instance_id process;
    bool is_reading = false; ///< It reads the store's changes itself.
    /// Time since the store last answered it; used only if it is reading.
    milliseconds store_response_age{0};
    /// Time since its last message; used only if it is reading.
    milliseconds silence{0};

    auto operator<=>(const store_reader_candidate&) const = default;
};

/// Maximum time since the store last answered a reader on which other processes rely. A reader's calls to the
/// store wait for up to 1 s, its messages arrive every 250 ms, and a change must be known within 3 s.
inline constexpr milliseconds maximum_reader_staleness{1'600};

/// Maximum time without a message from a reader on which other processes rely. It sends one every 250 ms; one
/// that sends none may have read a change that it cannot announce.
inline constexpr milliseconds maximum_reader_silence{1'000};

/// Minimum number of processes in a failure domain that shares readers. In smaller domains sharing saves
/// nothing, so each process reads the store.
inline constexpr std::size_t minimum_shared_domain_size = 5;

/// Whether `self` reads the store's changes itself instead of receiving them from the readers of its failure
/// domain. Two processes read, selected by a hash of their ids without coordination. If the store does not
/// answer one of them, or its messages do not arrive, other processes read until there are two working
/// readers again. Additional readers do no harm.
[[nodiscard]] bool is_store_reader(const instance_id& self,
                                   const std::vector<store_reader_candidate>& others);

} // namespace siskinwharf::dispatch
