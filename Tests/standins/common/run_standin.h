#pragma once

#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "command_line.h"
#include "http_server.h"

namespace siskinwharf::standins {

/// Runs the main function of a stand-in: `body` gets the context, and its result is the exit code. An
/// exception is printed with the name of the program, and the exit code is 2.
int run_standin(const char* program, const std::function<int(boost::asio::io_context&)>& body);

/// Port of a `--port` option. Throws `command_line_error`.
[[nodiscard]] std::uint16_t checked_port(std::int64_t port);

} // namespace siskinwharf::standins
