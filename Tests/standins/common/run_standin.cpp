#include "run_standin.h"

#include <exception>
#include <limits>

#include <fmt/format.h>

namespace siskinwharf::standins {

int run_standin(const char* program, const std::function<int(boost::asio::io_context&)>& body)
{
    try {
        boost::asio::io_context context{1};
        return body(context);
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return 2;
    }
}

std::uint16_t checked_port(std::int64_t port)
{
    if (port < 0 || port > std::numeric_limits<std::uint16_t>::max())
        throw command_line_error(fmt::format("--port: not a port: {}", port));
    return static_cast<std::uint16_t>(port);
}

} // namespace siskinwharf::standins
