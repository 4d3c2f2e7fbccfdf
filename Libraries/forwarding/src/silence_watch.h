#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "siskinwharf/base/time.h"

namespace siskinwharf::forwarding {

/// Calls a check at regular intervals until it returns true or the watch is destroyed. The check runs on the
/// executor, and so must everything that uses the watch.
class silence_watch {
public:
    silence_watch(const boost::asio::any_io_executor& executor, milliseconds interval,
                  std::function<bool()> check);
    silence_watch(const silence_watch&) = delete;
    silence_watch& operator=(const silence_watch&) = delete;
    silence_watch(silence_watch&&) = delete;
    silence_watch& operator=(silence_watch&&) = delete;
    ~silence_watch();

private:
    struct shared_state;
    static void arm(const std::shared_ptr<shared_state>& state);

    std::shared_ptr<shared_state> m_state;
};

} // namespace siskinwharf::forwarding
