#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "load_options.h"
#include "load_report.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::cli {

/// Sends requests at random times with a fixed mean rate, whatever the answers, and checks each answer as a
/// caller would: it resumes broken streams by request id and resends what was refused as `not_run`.
class load_generator {
public:
    explicit load_generator(load_options options);

    /// Sends the load, waits for the last answer and returns the report.
    load_report run();

private:
    /// What one model request is about.
    struct question {
        std::string id;
        std::string api_key;
        std::string content;
        std::string body;
        bool streaming = false;
    };
    /// The answer so far, as the caller has received it.
    struct answer_state {
        std::vector<std::string> contents;
        bool accepted = false;
        bool done = false;
        bool failed = false;
        monotonic_time started;
        monotonic_time asked; ///< When the last try was sent.
        monotonic_time last_token;
    };
    enum class try_result { whole, broken, refused_for_now, refused };
    /// How a non-idempotent call ended for its caller.
    enum class call_end { done, not_run, unknown };

    boost::asio::awaitable<void> send_arrivals();
    boost::asio::awaitable<void> run_question(question asked);
    boost::asio::awaitable<try_result> ask(const question& asked, answer_state& state);
    boost::asio::awaitable<try_result> resume(const question& asked, answer_state& state);
    boost::asio::awaitable<try_result> read_events(http::line_stream& stream, answer_state& state);
    boost::asio::awaitable<try_result> read_refusal(http::line_stream& stream);
    boost::asio::awaitable<void> run_call(std::string key, std::string api_key);
    boost::asio::awaitable<void> check_executions();

    void take_event(std::string_view line, answer_state& state);
    void record(const question& asked, const answer_state& state, try_result last);
    [[nodiscard]] bool is_correct(const question& asked, const answer_state& state) const;
    [[nodiscard]] question make_question();
    [[nodiscard]] const load_account& pick_account();
    [[nodiscard]] const http::address& pick_target();
    [[nodiscard]] std::string words(const std::string& tag, std::int64_t count) const;

    load_options m_options;
    boost::asio::io_context m_context{1};
    http::client m_client;
    std::mt19937_64 m_random;
    load_report m_report;
    std::uint64_t m_next_id = 0;
    std::map<std::string, call_end> m_calls;
    milliseconds m_last_retry_after{0};
};

} // namespace siskinwharf::cli
