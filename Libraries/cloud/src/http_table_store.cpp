#include <algorithm>
#include <charconv>
#include <exception>

#include "siskinwharf/cloud/http_platform.h"
#include "table_json.h"

namespace siskinwharf::cloud {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

/// Converts the answer to a commit. An unexpected or malformed answer is `table_uncertain`.
commit_result to_commit_result(const http::response& answer)
{
    switch (answer.status) {
    case status_ok:
        return table_committed{};
    case status_conflict:
        try {
            return decode_conflict(answer.body);
        } catch (const std::exception&) {
            return table_uncertain{};
        }
    case status_too_many_requests:
    case status_unavailable:
        return table_unavailable{};
    default:
        return table_uncertain{};
    }
}

} // namespace

http_table_store::http_table_store(http::client& client, platform_access access)
    : m_client(client), m_access(std::move(access))
{
}

bool http_table_store::observe_era(const http::response& answer)
{
    std::uint64_t era = m_era; // Tables that are never restored name none.
    if (const auto text = answer.find_header("Siskinwharf-Table-Era"))
        std::from_chars(text->data(), text->data() + text->size(), era);
    const bool is_present = era >= m_era;
    m_era = std::max(m_era, era);
    m_has_answered = true;
    return is_present;
}

boost::asio::awaitable<commit_result> http_table_store::commit(table_transaction transaction)
{
    http::request message{"POST", "/table/commit", "", {}, encode_transaction(transaction)};
    message.headers.push_back({"Content-Type", "application/json"});
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    const auto era = m_era;
    const bool had_answered = m_has_answered;
    try {
        // A commit is not retried here: the first attempt may have taken effect, and only the caller can
        // distinguish its own write from that of another writer.
        const auto answer =
            co_await m_client.call(m_access.target, std::move(message), m_access.timeout, false);
        if (!observe_era(answer) || (had_answered && m_era != era))
            co_return table_uncertain{};
        co_return to_commit_result(answer);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send)
            co_return table_unavailable{};
        co_return table_uncertain{};
    }
}

boost::asio::awaitable<read_result> http_table_store::read(std::string key)
{
    http::request message{"GET", "/table/row", "key=" + http::percent_encode(key), {}, ""};
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    try {
        const auto answer = co_await m_client.call(m_access.target, std::move(message), m_access.timeout);
        if (!observe_era(answer))
            co_return table_unavailable{};
        if (answer.status == status_not_found)
            co_return std::optional<table_row>{};
        if (answer.status != status_ok)
            co_return table_unavailable{};
        co_return std::optional<table_row>{decode_row(answer.body)};
    } catch (const http::call_error&) {
        co_return table_unavailable{};
    } catch (const std::exception&) {
        // boost::json throws exceptions of several types for a malformed body.
        co_return table_unavailable{};
    }
}

} // namespace siskinwharf::cloud
