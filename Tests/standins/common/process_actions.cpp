#include "process_actions.h"

#include <cstdlib>

#include <sys/resource.h>

namespace siskinwharf::standins {

process_actions end_process(boost::asio::io_context& context)
{
    // Crashes are part of the tests; their core files would only fill the disk.
    const rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    process_actions actions;
    actions.crash = [] {
        std::abort();
    };
    actions.exit = [&context] {
        context.stop();
    };
    return actions;
}

} // namespace siskinwharf::standins
