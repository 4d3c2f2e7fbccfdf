#pragma once

#include <stdexcept>
#include <string>

namespace siskinwharf::http {

/// How far a call had come when it failed. Decides whether a non-idempotent call may have run.
enum class call_stage {
    before_send,  ///< No byte of the request was written.
    after_send,   ///< At least one byte of the request was written; no response header arrived.
    after_header, ///< The response header arrived, the body did not end.
};

/// A call to another process failed.
class call_error : public std::runtime_error {
public:
    call_error(call_stage stage, const std::string& message, bool timed_out = false)
        : std::runtime_error(message), m_stage(stage), m_timed_out(timed_out)
    {
    }

    [[nodiscard]] call_stage stage() const { return m_stage; }
    /// The other side did not answer in time; it may be frozen rather than dead.
    [[nodiscard]] bool timed_out() const { return m_timed_out; }

private:
    call_stage m_stage;
    bool m_timed_out;
};

/// A caller's connection ended while a response was being written to it.
class caller_disconnected : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A listening socket or a certificate could not be set up.
class listen_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace siskinwharf::http
