#include "load_generator.h"

#include <algorithm>
#include <numeric>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "siskinwharf/base/hash.h"
#include "siskinwharf/serving/chat_request.h"

namespace siskinwharf::cli {

namespace asio = boost::asio;

namespace {

constexpr milliseconds header_timeout{20'000};
constexpr milliseconds token_timeout{15'000};
constexpr milliseconds call_timeout{20'000};
constexpr milliseconds retry_pause{200};
constexpr int most_tries = 40;
constexpr std::uint64_t standin_vocabulary = 100'000;

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

double milliseconds_between(monotonic_time start, monotonic_time end)
{
    return std::chrono::duration<double, std::milli>(end - start).count();
}

asio::awaitable<void> pause_for(nanoseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// The `error` object of a refusal, or an empty object.
boost::json::object error_of(const std::string& body)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(body, error);
    if (error || !document.is_object())
        return {};
    const auto* found = document.get_object().if_contains("error");
    return found != nullptr && found->is_object() ? found->get_object() : boost::json::object{};
}

std::string text_of(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string{};
}

milliseconds retry_after_of(const boost::json::object& error)
{
    const auto* value = error.if_contains("retry_after_ms");
    return value != nullptr && value->is_int64() ? milliseconds(value->get_int64()) : retry_pause;
}

http::request make_post(std::string path, const std::string& api_key, std::string body)
{
    http::request message{"POST", std::move(path), "", {}, std::move(body)};
    message.headers.push_back({"Content-Type", "application/json"});
    message.headers.push_back({"Authorization", "Bearer " + api_key});
    return message;
}

} // namespace

load_generator::load_generator(load_options options)
    : m_options(std::move(options)),
      m_client(m_context.get_executor()),
      m_random(static_cast<std::uint64_t>(m_options.seed))
{
}

load_report load_generator::run()
{
    asio::co_spawn(m_context, send_arrivals(), asio::detached);
    m_context.run();
    m_context.restart();
    if (!m_options.executions.empty()) {
        asio::co_spawn(m_context, check_executions(), asio::detached);
        m_context.run();
    }
    return m_report;
}

asio::awaitable<void> load_generator::send_arrivals()
{
    std::exponential_distribution<double> gap(m_options.rate);
    std::uniform_real_distribution<double> share(0, 1);
    const auto start = now();
    const auto end =
        start + std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(m_options.duration_s));
    auto next = start;
    while (true) {
        next += std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(gap(m_random)));
        if (next >= end)
            co_return;
        asio::steady_timer timer(m_context, next);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!m_options.service.empty() && share(m_random) < m_options.call_share) {
            auto key = fmt::format("call-{}-{}", m_options.seed, m_next_id++);
            asio::co_spawn(m_context, run_call(std::move(key), pick_account().api_key), asio::detached);
        } else {
            asio::co_spawn(m_context, run_question(make_question()), asio::detached);
        }
    }
}

const load_account& load_generator::pick_account()
{
    const double total =
        std::accumulate(m_options.accounts.begin(), m_options.accounts.end(), 0.0,
                        [](double sum, const auto& account) { return sum + account.weight; });
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const auto& account : m_options.accounts) {
        point -= account.weight;
        if (point < 0)
            return account;
    }
    return m_options.accounts.back();
}

const http::address& load_generator::pick_target()
{
    return m_options.targets[m_random() % m_options.targets.size()];
}

std::string load_generator::words(const std::string& tag, std::int64_t count) const
{
    std::string result;
    for (std::int64_t index = 0; index < count; ++index)
        result += fmt::format("{}{} ", tag, index);
    return result;
}

load_generator::question load_generator::make_question()
{
    const auto& account = pick_account();
    const auto number = m_next_id++;
    question asked;
    asked.id = fmt::format("load-{}-{}", m_options.seed, number);
    asked.api_key = account.api_key;
    const auto prefix =
        m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(m_options.prefixes, 1));
    asked.content = words(fmt::format("{}-p{}-", account.api_key, prefix), m_options.prefix_words) +
                    words(fmt::format("q{}-", number), m_options.question_words);
    asked.streaming = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.streaming_share;
    boost::json::object body;
    body["model"] = m_options.model;
    body["messages"] = boost::json::array{boost::json::object{{"role", "user"}, {"content", asked.content}}};
    body["max_tokens"] = m_options.output_tokens;
    body["stream"] = asked.streaming;
    asked.body = boost::json::serialize(body);
    return asked;
}

asio::awaitable<void> load_generator::run_question(question asked)
{
    ++m_report.requests;
    answer_state state;
    state.started = now();
    state.last_token = state.started;
    const auto give_up_at = state.started + milliseconds(m_options.deadline_ms);
    auto result = try_result::broken;
    bool resumed = false;
    for (int attempt = 0; attempt < most_tries && now() < give_up_at; ++attempt) {
        if (state.accepted || attempt > 0) {
            const bool may_be_known = result == try_result::broken;
            if (may_be_known) {
                resumed = true;
                result = co_await resume(asked, state);
            }
        }
        if (!state.done && !state.accepted)
            result = co_await ask(asked, state);
        if (result == try_result::whole || result == try_result::refused || state.failed)
            break;
        if (result == try_result::refused_for_now)
            ++m_report.retried;
        co_await pause_for(result == try_result::refused_for_now ? m_last_retry_after : retry_pause);
    }
    m_report.resumed += resumed ? 1 : 0;
    record(asked, state, result);
}

asio::awaitable<load_generator::try_result> load_generator::ask(const question& asked, answer_state& state)
{
    auto message = make_post("/v1/chat/completions", asked.api_key, asked.body);
    message.headers.push_back({"Siskinwharf-Request-Id", asked.id});
    message.headers.push_back({"Siskinwharf-Deadline-Ms", std::to_string(m_options.deadline_ms)});
    state.asked = now();
    try {
        const auto stream = co_await m_client.open(pick_target(), std::move(message), header_timeout);
        if (stream->status() != 200)
            co_return co_await read_refusal(*stream);
        state.accepted = true;
        if (asked.streaming)
            co_return co_await read_events(*stream, state);
        std::string body;
        while (true) {
            const auto lines = co_await stream->next_lines(token_timeout);
            if (lines.empty())
                break;
            body += lines;
        }
        boost::system::error_code error;
        const auto document = boost::json::parse(body, error);
        if (error)
            co_return try_result::broken;
        const auto& content = document.at("choices").at(0).at("message").at("content").as_string();
        std::string_view rest = content;
        while (!rest.empty()) {
            const auto end = std::min(rest.find(' '), rest.size());
            state.contents.emplace_back(rest.substr(0, end));
            rest = rest.substr(std::min(end + 1, rest.size()));
        }
        state.last_token = now();
        state.done = true;
        co_return try_result::whole;
    } catch (const http::call_error&) {
        co_return try_result::broken;
    }
}

asio::awaitable<load_generator::try_result> load_generator::resume(const question& asked, answer_state& state)
{
    http::request message{
        "GET", "/v1/requests/" + asked.id, "offset=" + std::to_string(state.contents.size()), {}, ""};
    message.headers.push_back({"Authorization", "Bearer " + asked.api_key});
    try {
        const auto stream = co_await m_client.open(pick_target(), std::move(message), header_timeout);
        if (stream->status() != 200) {
            co_await stream->next_lines(token_timeout);
            co_return try_result::broken;
        }
        state.accepted = true;
        co_return co_await read_events(*stream, state);
    } catch (const http::call_error&) {
        co_return try_result::broken;
    }
}

asio::awaitable<load_generator::try_result> load_generator::read_refusal(http::line_stream& stream)
{
    std::string body;
    while (true) {
        const auto lines = co_await stream.next_lines(token_timeout);
        if (lines.empty())
            break;
        body += lines;
    }
    const auto error = error_of(body);
    ++m_report.refusals[text_of(error, "type")];
    const auto result = text_of(error, "outcome");
    if (result == "unknown")
        co_return try_result::broken;
    m_last_retry_after = retry_after_of(error);
    co_return error.contains("retry_after_ms") ? try_result::refused_for_now : try_result::refused;
}

asio::awaitable<load_generator::try_result> load_generator::read_events(http::line_stream& stream,
                                                                        answer_state& state)
{
    while (!state.done && !state.failed) {
        const auto lines = co_await stream.next_lines(token_timeout);
        if (lines.empty())
            break;
        std::string_view rest = lines;
        while (!rest.empty()) {
            const auto end = std::min(rest.find('\n'), rest.size());
            take_event(rest.substr(0, end), state);
            rest = rest.substr(std::min(end + 1, rest.size()));
        }
    }
    if (state.done)
        co_await stream.next_lines(token_timeout);
    co_return state.done ? try_result::whole : try_result::broken;
}

void load_generator::take_event(std::string_view line, answer_state& state)
{
    constexpr std::string_view prefix = "data: ";
    if (!line.starts_with(prefix))
        return;
    line.remove_prefix(prefix.size());
    if (line == "[DONE]") {
        state.done = true;
        return;
    }
    boost::system::error_code error;
    const auto document = boost::json::parse(line, error);
    if (error || !document.is_object())
        return;
    if (document.get_object().contains("error")) {
        ++m_report.refusals[text_of(error_of(std::string(line)), "type")];
        state.failed = true;
        return;
    }
    const auto& delta = document.at("choices").at(0).at("delta").as_object();
    const auto* content = delta.if_contains("content");
    if (content == nullptr)
        return;
    std::string text(content->as_string());
    if (!text.empty() && text.front() == ' ')
        text.erase(0, 1);
    const auto time = now();
    if (state.contents.empty()) {
        m_report.first_token.add(milliseconds_between(state.started, time));
        m_report.admitted_first_token.add(milliseconds_between(state.asked, time));
    } else {
        m_report.between_tokens.add(milliseconds_between(state.last_token, time));
    }
    state.last_token = time;
    state.contents.push_back(std::move(text));
}

bool load_generator::is_correct(const question& asked, const answer_state& state) const
{
    if (state.contents.size() != static_cast<std::size_t>(m_options.output_tokens))
        return false;
    if (!m_options.verify_standin_tokens)
        return true;
    std::string prompt;
    serving::append_message(prompt, "user", asked.content);
    for (std::size_t offset = 0; offset < state.contents.size(); ++offset) {
        const auto token = hash64(prompt + "#" + std::to_string(offset)) % standin_vocabulary;
        if (state.contents[offset] != "t" + std::to_string(token))
            return false;
    }
    return true;
}

void load_generator::record(const question& asked, const answer_state& state, try_result last)
{
    m_report.tokens += state.contents.size();
    if (!state.done) {
        // A request that was never accepted may be refused; an accepted one must become whole.
        if (state.accepted || last == try_result::broken)
            ++m_report.lost;
        else
            ++m_report.refused;
        return;
    }
    if (!is_correct(asked, state)) {
        ++m_report.wrong;
        return;
    }
    ++m_report.whole;
    const double elapsed = milliseconds_between(state.started, state.last_token);
    m_report.whole_answer.add(elapsed);
    if (elapsed > static_cast<double>(m_options.deadline_ms))
        ++m_report.late;
}

asio::awaitable<void> load_generator::run_call(std::string key, std::string api_key)
{
    ++m_report.calls;
    auto end = call_end::unknown;
    std::string release_token;
    const auto start = now();
    const auto give_up_at = start + milliseconds(m_options.deadline_ms);
    for (int attempt = 0; attempt < most_tries && now() < give_up_at; ++attempt) {
        auto message = make_post("/services/" + m_options.service + m_options.call_path, api_key,
                                 R"({"call":")" + key + R"("})");
        message.headers.push_back({"Idempotency-Key", key});
        if (!release_token.empty())
            message.headers.push_back({"Siskinwharf-Release-Token", release_token});
        auto pause = retry_pause;
        try {
            const auto answer =
                co_await m_client.call(pick_target(), std::move(message), call_timeout, false);
            if (answer.status < 300) {
                end = call_end::done;
                break;
            }
            const auto error = error_of(answer.body);
            ++m_report.refusals[text_of(error, "type")];
            const auto result = text_of(error, "outcome");
            end = result == "not_run" ? call_end::not_run
                  : result == "done"  ? call_end::done
                                      : call_end::unknown;
            if (end == call_end::done)
                break;
            if (const auto token = text_of(error, "release_token"); !token.empty())
                release_token = token;
            pause = retry_after_of(error);
        } catch (const http::call_error& error) {
            if (error.stage() != http::call_stage::before_send)
                end = call_end::unknown;
        }
        ++m_report.retried;
        co_await pause_for(pause);
    }
    if (end == call_end::done)
        m_report.call.add(milliseconds_between(start, now()));
    m_calls[key] = end;
    m_report.calls_done += end == call_end::done ? 1 : 0;
    m_report.calls_not_run += end == call_end::not_run ? 1 : 0;
    m_report.calls_unknown += end == call_end::unknown ? 1 : 0;
}

asio::awaitable<void> load_generator::check_executions()
{
    std::map<std::string, std::int64_t> counts;
    for (const auto& target : m_options.executions) {
        http::request message{"GET", "/executions", "", {}, ""};
        try {
            const auto answer = co_await m_client.call(target, std::move(message), call_timeout);
            const auto document = boost::json::parse(answer.body);
            for (const auto& [key, value] : document.at("by_key").as_object())
                counts[key] += value.to_number<std::int64_t>();
        } catch (const http::call_error&) {
            // A replica that was reclaimed during the run takes its counts with it.
            continue;
        }
    }
    for (const auto& [key, end] : m_calls) {
        const auto count = counts[key];
        m_report.doubled += count > 1 ? 1 : 0;
        m_report.false_not_run += end == call_end::not_run && count > 0 ? 1 : 0;
        m_report.false_done += end == call_end::done && count == 0 ? 1 : 0;
    }
}

} // namespace siskinwharf::cli
