#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "process_actions.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// Longest time that a test waits for something that must happen. Only a failing test takes this long.
inline constexpr seconds longest_wait{30};

/// Calls `condition` until it is true. False if that takes longer than `longest_wait`.
inline bool eventually(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + longest_wait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
}

/// A stand-in that runs in the test's process, on its own thread. A crash or an exit only sets a flag.
template<typename Standin>
class running_standin {
public:
    /// `make` receives the context and the actions and returns a pointer to the stand-in.
    template<typename Make>
    explicit running_standin(Make make)
    {
        process_actions actions;
        actions.crash = [this] {
            m_crashed = true;
        };
        actions.exit = [this] {
            m_exited = true;
        };
        m_standin = make(m_context, actions);
        m_port = m_standin->server().listen(0);
        m_thread = std::thread([this] { m_context.run(); });
    }
    running_standin(const running_standin&) = delete;
    running_standin& operator=(const running_standin&) = delete;
    running_standin(running_standin&&) = delete;
    running_standin& operator=(running_standin&&) = delete;
    ~running_standin()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] bool crashed() const { return m_crashed; }
    [[nodiscard]] bool exited() const { return m_exited; }

private:
    boost::asio::io_context m_context{1};
    std::unique_ptr<Standin> m_standin;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_crashed = false;
    std::atomic<bool> m_exited = false;
    std::thread m_thread;
};

} // namespace siskinwharf::standins
