#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

namespace siskinwharf::standins {

/// How a stand-in ends itself. Tests replace these, so that they can run a stand-in in their own process.
struct process_actions {
    std::function<void()> crash; ///< Ends the process at once, without closing anything.
    std::function<void()> exit;  ///< Ends the process as a platform does when it takes an instance back.
};

/// Actions that end this process: `crash` by abort, without a core file, and `exit` by stopping the context.
[[nodiscard]] process_actions end_process(boost::asio::io_context& context);

} // namespace siskinwharf::standins
