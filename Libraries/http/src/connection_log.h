#pragma once

#include <cstddef>
#include <exception>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "caller_connection.h"

namespace siskinwharf::http {

/// What a server found in its listen queue when it closed its listening socket.
struct listen_queue_end {
    unsigned short port = 0;
    std::size_t taken = 0;        ///< Connections that were taken from the queue.
    std::size_t with_request = 0; ///< Of these, those on which bytes had arrived.
    std::size_t open = 0;         ///< Open connections, with those that were taken.
};

/// Says which connection this process closes with bytes of a request on it.
void log_closed(const caller_connection& connection, const std::string& reason, bool is_stopping,
                milliseconds idle_limit);
/// Says that a connection failed before a request on it was whole. Ends that callers announce are not told.
void log_lost(const caller_connection& connection, const std::string& reason);
/// Says what the end of the process cuts on a connection. Nothing is said of one on which nothing lies.
void log_cut_by_process_end(const caller_connection& connection);
void log_listening_ended(const listen_queue_end& queue);
/// Says which exception ended a connection, if one did.
void log_unhandled(const std::exception_ptr& failure);
void log_accept_failed(const boost::system::error_code& error);

} // namespace siskinwharf::http
