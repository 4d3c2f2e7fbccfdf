#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/core.h>

#include "command.h"
#include "options.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::cli {

namespace asio = boost::asio;

namespace {

constexpr milliseconds admin_timeout{2'000};

/// Fetches one path of the administration interface of each process and prints it. Returns how many did not
/// answer.
asio::awaitable<int> print_path(std::vector<http::address> targets, std::string path)
{
    http::client client(co_await asio::this_coro::executor);
    int silent = 0;
    for (const auto& target : targets) {
        http::request message{"GET", path, "", {}, ""};
        try {
            const auto answer = co_await client.call(target, std::move(message), admin_timeout);
            fmt::print("{}:{} {}\n", target.ip, target.port, answer.body);
        } catch (const http::call_error& error) {
            fmt::print("{}:{} does not answer: {}\n", target.ip, target.port, error.what());
            ++silent;
        }
    }
    co_return silent;
}

} // namespace

int status_command(int count, const char** arguments)
{
    std::string admin;
    std::string what = "status";
    options line("status", "");
    line.add("admin", "administration addresses of entry processes, separated by commas", admin);
    line.add("what", "status, endpoints, accounts, peers or metrics", what);
    if (!line.parse(count, arguments).empty() || admin.empty())
        throw usage_error("status takes --admin");
    asio::io_context context;
    int silent = 0;
    asio::co_spawn(context, print_path(parse_addresses(admin), "/" + what),
                   [&](const std::exception_ptr& error, int result) {
                       if (error)
                           std::rethrow_exception(error);
                       silent = result;
                   });
    context.run();
    return silent == 0 ? exit_success : exit_unreachable;
}

} // namespace siskinwharf::cli
