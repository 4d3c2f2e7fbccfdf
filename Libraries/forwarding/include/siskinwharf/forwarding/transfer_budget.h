#pragma once

#include <cstdint>

#include "siskinwharf/base/time.h"

namespace siskinwharf::forwarding {

/// Bounds what a process sends to peers that fetch its state, so that their transfers do not delay each
/// other, nor the answers to callers on the same link. A peer that is refused asks another one, or the store.
/// Performs no I/O.
///
/// The load it answers: all processes of a region ask the first one that has a new version, at once, for a
/// text of some 100 KB, on a link that carries 1 MB a second.
class transfer_budget {
public:
    /// `link_rate`, in bytes a second, is that of the instance's network link. A part of it is the budget,
    /// and that of a second may be used at once.
    explicit transfer_budget(std::uint64_t link_rate);

    /// Whether an answer of this size may be sent now; takes it from the budget. One that is larger than the
    /// budget of a second is sent when the budget is full, and a small one always.
    [[nodiscard]] bool try_take(std::uint64_t bytes, monotonic_time now);

private:
    double m_rate; ///< Bytes a second.
    double m_available;
    monotonic_time m_refilled{};
};

} // namespace siskinwharf::forwarding
