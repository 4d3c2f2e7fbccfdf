#pragma once

#include <memory>
#include <string>

namespace siskinwharf::entry {

/// The process that forwards requests by route on the users' platform: reads the settings, connects the parts
/// and runs them on one thread.
class forwarding_process {
public:
    /// Reads the settings and opens the listening sockets. Throws `settings::settings_error` and
    /// `http::listen_error`.
    explicit forwarding_process(std::string settings_path);
    forwarding_process(const forwarding_process&) = delete;
    forwarding_process& operator=(const forwarding_process&) = delete;
    forwarding_process(forwarding_process&&) = delete;
    forwarding_process& operator=(forwarding_process&&) = delete;
    ~forwarding_process();

    /// Runs until SIGTERM has been handled.
    void run();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace siskinwharf::entry
