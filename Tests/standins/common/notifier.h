#pragma once

#include <chrono>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace siskinwharf::standins {

/// Condition variable for coroutines on one thread. A waiter checks its condition before each wait.
class notifier {
public:
    explicit notifier(const boost::asio::any_io_executor& executor);

    /// Resumes every coroutine that waits now.
    void notify_all();
    boost::asio::awaitable<void> wait();

private:
    boost::asio::steady_timer m_timer;
};

/// Suspends the calling coroutine.
boost::asio::awaitable<void> sleep_for(std::chrono::nanoseconds duration);

} // namespace siskinwharf::standins
