#pragma once

#include <exception>

namespace siskinwharf::peer {

/// Completion handler of a coroutine that must not fail: an exception ends the executor's run function
/// instead of stopping the transport silently.
inline void rethrow(const std::exception_ptr& error)
{
    if (error)
        std::rethrow_exception(error);
}

} // namespace siskinwharf::peer
