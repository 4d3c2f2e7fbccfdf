#pragma once

#include <functional>

namespace siskinwharf::standins {

/// How a stand-in ends itself. Tests replace these, so that they can run a stand-in in their own process.
struct process_actions {
    std::function<void()> crash; ///< Ends the process at once, without closing anything.
    std::function<void()> exit;  ///< Ends the process as a platform does when it takes an instance back.
};

} // namespace siskinwharf::standins
