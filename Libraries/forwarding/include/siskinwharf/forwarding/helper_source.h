#pragma once

#include <vector>

#include "siskinwharf/dispatch/helper_choice.h"

namespace siskinwharf::forwarding {

/// The peers through which a process without a path to endpoints may pass requests.
class helper_source {
public:
    helper_source() = default;
    helper_source(const helper_source&) = delete;
    helper_source& operator=(const helper_source&) = delete;
    helper_source(helper_source&&) = delete;
    helper_source& operator=(helper_source&&) = delete;
    virtual ~helper_source() = default;

    /// Peers that were heard lately and do not stop.
    [[nodiscard]] virtual std::vector<dispatch::helper> helpers() const = 0;
};

} // namespace siskinwharf::forwarding
