#include <chrono>
#include <exception>
#include <optional>
#include <random>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/core.h>

#include "command.h"
#include "options.h"
#include "siskinwharf/cloud/http_platform.h"
#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/sheet_difference.h"
#include "siskinwharf/sheet/sheet_error.h"
#include "siskinwharf/sheet/sheet_rows.h"
#include "siskinwharf/sheet/sheet_submission.h"

namespace siskinwharf::cli {

namespace asio = boost::asio;

namespace {

constexpr milliseconds platform_timeout{2'000};

/// Runs a coroutine to its end on a context of its own and rethrows its exception.
template<typename Function>
void run(Function function)
{
    asio::io_context context;
    std::exception_ptr failure;
    asio::co_spawn(context, function(), [&](const std::exception_ptr& error) { failure = error; });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

std::string random_submission_id()
{
    std::random_device device;
    return fmt::format("cli-{:08x}{:08x}", device(), device());
}

/// Executes the steps of a submission until it has a result.
asio::awaitable<sheet::submission_result> execute(sheet::sheet_submission& submission,
                                                  cloud::table_store& table)
{
    while (true) {
        const auto step = submission.next();
        if (const auto* result = std::get_if<sheet::submission_result>(&step))
            co_return *result;
        if (const auto* read = std::get_if<sheet::read_row>(&step)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, read->delay);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            const auto row = co_await table.read(read->key);
            submission.observe_era(table.era());
            submission.on_read(row);
        } else {
            const auto result = co_await table.commit(std::get<cloud::table_transaction>(step));
            submission.observe_era(table.era());
            submission.on_commit(result);
        }
    }
}

struct result_printer {
    int operator()(const sheet::submission_accepted& accepted) const
    {
        fmt::print("accepted as version {}\n", accepted.version);
        return exit_success;
    }
    int operator()(const sheet::submission_conflict& conflict) const
    {
        fmt::print(stderr, "conflict: version {} was accepted first; nothing was changed\n",
                   conflict.winner_version);
        if (conflict.difference) {
            for (const auto& line : sheet::to_lines(*conflict.difference))
                fmt::print(stderr, "  {}\n", line);
        }
        return exit_conflict;
    }
    int operator()(const sheet::submission_unresolved& unresolved) const
    {
        fmt::print(stderr, "unresolved: {}; {}\n",
                   unresolved.reason == sheet::unresolved_reason::table_unreachable
                       ? "the table service does not answer"
                       : "a row of the table is malformed",
                   unresolved.certainly_without_effect
                       ? "the sheet did not take effect"
                       : "the sheet may take effect; submit again with the same --id");
        return exit_unresolved;
    }
};

} // namespace

int check_command(int count, const char** arguments)
{
    options line("check", "SHEET.csv");
    const auto rest = line.parse(count, arguments);
    if (rest.size() != 1)
        throw usage_error("check takes one sheet");
    const auto value = sheet::parse_sheet(read_file(rest[0]));
    fmt::print("the sheet is valid: {} models, {} services, {} accounts, {} grants\n", value.models.size(),
               value.services.size(), value.accounts.size(), value.grants.size());
    return exit_success;
}

int submit_command(int count, const char** arguments)
{
    std::string platform_text;
    std::string id = random_submission_id();
    std::int64_t base = -1;
    options line("submit", "SHEET.csv");
    line.add("platform", "address of the platform, <ip>:<port>", platform_text);
    line.add("id", "id of the submission; use the same id to resolve a lost answer", id);
    line.add("base", "version that the sheet is based on; any other one in force is a conflict", base);
    const auto rest = line.parse(count, arguments);
    if (rest.size() != 1 || platform_text.empty())
        throw usage_error("submit takes --platform and one sheet");
    const auto text = read_file(rest[0]);
    const auto target = parse_address(platform_text);
    int result = exit_unresolved;
    run([&]() -> asio::awaitable<void> {
        http::client client(co_await asio::this_coro::executor);
        cloud::http_table_store table(client, {target, "operator", platform_timeout});
        const auto base_version = base < 0 ? std::nullopt : std::optional<std::uint64_t>(base);
        sheet::sheet_submission submission(text, id, base_version);
        result = std::visit(result_printer{}, co_await execute(submission, table));
    });
    return result;
}

int show_command(int count, const char** arguments)
{
    std::string platform_text;
    options line("show", "");
    line.add("platform", "address of the platform, <ip>:<port>", platform_text);
    if (!line.parse(count, arguments).empty() || platform_text.empty())
        throw usage_error("show takes --platform only");
    const auto target = parse_address(platform_text);
    int result = exit_unreachable;
    run([&]() -> asio::awaitable<void> {
        http::client client(co_await asio::this_coro::executor);
        cloud::http_table_store table(client, {target, "operator", platform_timeout});
        const auto current = co_await table.read(std::string(sheet::current_key));
        const auto* row = std::get_if<std::optional<cloud::table_row>>(&current);
        if (row == nullptr)
            co_return;
        const auto version = *row ? sheet::parse_version((*row)->value) : std::nullopt;
        if (!version) {
            fmt::print("no sheet was accepted yet\n");
            result = exit_success;
            co_return;
        }
        const auto content = co_await table.read(sheet::version_key(*version));
        const auto* text = std::get_if<std::optional<cloud::table_row>>(&content);
        if (text == nullptr || !*text)
            co_return;
        fmt::print(stderr, "version {}\n", *version);
        fmt::print("{}", (*text)->value);
        result = exit_success;
    });
    if (result == exit_unreachable)
        fmt::print(stderr, "the table service does not answer\n");
    return result;
}

} // namespace siskinwharf::cli
