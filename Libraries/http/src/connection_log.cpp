#include "connection_log.h"

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/http/error.h"

namespace siskinwharf::http {

namespace {

std::string to_milliseconds(monotonic_time since)
{
    const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - since);
    return std::to_string(time.count());
}

} // namespace

void log_closed(const caller_connection& connection, const std::string& reason, bool is_stopping,
                milliseconds idle_limit)
{
    log_event(event::connection_closed, {{"reason", reason},
                                         {"stopping", is_stopping ? "yes" : "no"},
                                         {"unread", std::to_string(connection.unread_bytes())},
                                         {"buffered", std::to_string(connection.bytes_ahead())},
                                         {"unanswered", std::to_string(connection.requests_ahead())},
                                         {"since_wait_ms", to_milliseconds(connection.waiting_since())},
                                         {"idle_limit_ms", std::to_string(idle_limit.count())}});
}

void log_lost(const caller_connection& connection, const std::string& reason)
{
    log_event(event::connection_lost, {{"reason", reason},
                                       {"caller", connection.caller()},
                                       {"unread", std::to_string(connection.unread_bytes())},
                                       {"since_wait_ms", to_milliseconds(connection.waiting_since())}});
}

void log_cut_by_process_end(const caller_connection& connection)
{
    const auto unread = connection.unread_bytes();
    if (unread == 0 && connection.state() != caller_connection_state::in_request)
        return;
    log_event(event::connection_closed, {{"reason", "the process ends"},
                                         {"caller", connection.caller()},
                                         {"state", std::string(to_string(connection.state()))},
                                         {"unread", std::to_string(unread)},
                                         {"since_wait_ms", to_milliseconds(connection.waiting_since())}});
}

void log_listening_ended(const listen_queue_end& queue)
{
    log_event(event::listening_ended, {{"port", std::to_string(queue.port)},
                                       {"taken", std::to_string(queue.taken)},
                                       {"with_request", std::to_string(queue.with_request)},
                                       {"open", std::to_string(queue.open)}});
}

void log_unhandled(const std::exception_ptr& failure)
{
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const caller_disconnected&) {
        // The handler says what became of the request.
    } catch (const std::exception& error) {
        log_event(event::connection_failed, {{"reason", error.what()}});
    }
}

void log_accept_failed(const boost::system::error_code& error)
{
    log_event(event::accept_failed, {{"reason", error.message()}});
}

} // namespace siskinwharf::http
