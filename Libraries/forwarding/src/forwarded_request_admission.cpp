// The part of forwarded_request that decides whether a request is taken.

#include <algorithm>

#include <fmt/format.h>

#include "forwarded_request.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"
#include "stream_origin_lookup.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

constexpr milliseconds retry_after_not_ready{700};

} // namespace

asio::awaitable<std::optional<http::refusal>> forwarded_request::admit()
{
    if (auto reason = co_await check_resumption())
        co_return reason;
    co_return check_load();
}

std::optional<http::refusal> forwarded_request::find_service()
{
    using http::refusal_type;
    if (!m_state.is_ready())
        return http::refusal{refusal_type::not_ready, "no configuration yet", outcome::not_run,
                             retry_after_not_ready};
    m_route = m_snapshot->find_route(m_call.host, m_call.message.path);
    if (m_route == nullptr)
        return http::refusal{refusal_type::not_found, "no route for this host and path"};
    if (m_call.id.empty())
        return http::refusal{refusal_type::malformed, "the request has no id"};
    if (auto reason = authorize())
        return reason;
    // A stream that is taken up goes to the service that its first attempt was sent to.
    const auto& chooser = is_taken_up() && m_call.resumed_attempt ? *m_call.resumed_attempt : m_call.id;
    m_service = m_snapshot->find_service(deployment::choose_service(*m_route, hash64(chooser.value())));
    if (m_service == nullptr)
        return http::refusal{refusal_type::no_endpoint, "the service is not known", outcome::not_run,
                             retry_after_not_ready};
    return std::nullopt;
}

std::optional<http::refusal> forwarded_request::check_load()
{
    const auto now = std::chrono::steady_clock::now();
    if (auto reason = check_quarantine(now))
        return reason;
    if (auto reason = check_stop(now))
        return reason;
    const auto rank = m_account != nullptr && m_account->rank ? *m_account->rank : m_route->rank;
    m_call.work.urgency = m_snapshot->urgency(rank);
    m_state.count_request(m_service->id, now);
    if (m_account == nullptr)
        return std::nullopt;
    const auto amount = traffic_state::quota_amount(*m_account, m_call);
    const auto draw = unit_interval(mix64(hash64(m_call.id.value())));
    if (!m_state.take_quota(*m_account, amount, draw, now)) {
        log_quota_exceeded(amount, now);
        return http::refusal{http::refusal_type::overloaded, "the account's quota is used up",
                             outcome::not_run,
                             m_state.quotas().retry_after(m_account->id, amount, draw, now)};
    }
    m_quota_taken = amount;
    return std::nullopt;
}

asio::awaitable<std::optional<http::refusal>> forwarded_request::check_resumption()
{
    if (!is_taken_up())
        co_return std::nullopt;
    stream_origin_lookup lookup(m_executor, m_state, m_origins);
    const auto limit = time_left().value_or(default_request_timeout);
    std::optional<std::uint64_t> stream;
    if (m_call.resumed_attempt)
        stream = stream_number();
    const auto found = co_await lookup.find(stream, m_service->id, limit);
    m_call.work.software = found.software;
    const auto now = std::chrono::steady_clock::now();
    log_event(event::stream_taken_up,
              {{"request", m_call.id.value()},
               {"resumes", m_call.resumed_attempt ? m_call.resumed_attempt->value() : ""},
               {"software", found.software ? found.software->value() : "unknown"},
               {"source", std::string(to_string(found.evidence))},
               {"candidates", std::to_string(m_state.software().candidates(m_service->id, now).size())},
               {"complete", m_state.software().is_complete(now) ? "yes" : "no"},
               {"list_age_ms", std::to_string(m_state.endpoints_age(now).count())},
               {"waited_ms", std::to_string(found.waited.count())}});
    if (!found.software)
        co_return http::refusal{http::refusal_type::no_endpoint,
                                "the software version that began the stream is not known", outcome::not_run};
    co_return follow_service(found.service);
}

std::uint64_t forwarded_request::stream_number() const
{
    const auto account = m_account == nullptr ? account_id() : m_account->id;
    const auto is_known = is_taken_up() && m_call.resumed_attempt;
    return dispatch::stream_number(account, is_known ? *m_call.resumed_attempt : m_call.id);
}

bool forwarded_request::is_taken_up() const
{
    return m_route->kind == deployment::request_kind::stream && m_call.resume_after;
}

std::optional<http::refusal> forwarded_request::follow_service(const service_id& service)
{
    if (m_service->id == service)
        return std::nullopt;
    const auto is_service = [&](const auto& share) {
        return share.service == service;
    };
    if (std::ranges::any_of(m_route->shares, is_service))
        m_service = m_snapshot->find_service(service);
    else
        m_service = nullptr;
    if (m_service != nullptr)
        return std::nullopt;
    return http::refusal{http::refusal_type::no_endpoint, "the route no longer leads to the stream's service",
                         outcome::not_run};
}

std::optional<http::refusal> forwarded_request::check_quarantine(monotonic_time now) const
{
    if (!m_state.quarantine().is_empty() &&
        m_state.quarantine().status(content(), now) == admission::content_status::quarantined)
        return http::refusal{http::refusal_type::no_endpoint, "the request crashed endpoints",
                             outcome::not_run};
    if (const auto part = m_state.parts().find(dispatch::shared_part_ids(m_call.work.parts)))
        return http::refusal{http::refusal_type::no_endpoint,
                             "part " + dispatch::to_string({{*part, 0}}) + " of the prompt crashed endpoints",
                             outcome::not_run};
    return std::nullopt;
}

std::optional<http::refusal> forwarded_request::check_stop(monotonic_time now) const
{
    const auto& stop = m_state.stop();
    if (!stop || now + expected_answer_time(now) <= stop->end)
        return std::nullopt;
    // Another process can take it at once.
    return http::refusal{http::refusal_type::stopping, "this process stops before the answer would be whole",
                         outcome::not_run, milliseconds(0)};
}

milliseconds forwarded_request::expected_answer_time(monotonic_time now) const
{
    const auto left = time_left().value_or(default_request_timeout);
    // An estimate will do while callers cannot know that the process stops: they have few retries.
    const bool may_estimate =
        m_route->kind == deployment::request_kind::stream && m_state.stop() && now < m_state.stop()->drained;
    if (!may_estimate)
        return left;
    const auto stream = m_state.pace(m_service->id).expected(m_call.work.answer_tokens, now);
    return stream ? std::min(left, *stream) : left;
}

void forwarded_request::log_quota_exceeded(double amount, monotonic_time now) const
{
    const auto balance = m_state.quotas().balance(m_account->id, now);
    log_event(event::quota_exceeded, {{"request", m_call.id.value()},
                                      {"account", m_account->id.value()},
                                      {"amount", fmt::format("{:.0f}", amount)},
                                      {"allowed", fmt::format("{:.0f}", balance.allowed)},
                                      {"remaining", fmt::format("{:.0f}", balance.remaining)},
                                      {"expected", fmt::format("{:.0f}", balance.expected)},
                                      {"age_ms", std::to_string(balance.age.count())}});
}

std::optional<http::refusal> forwarded_request::authorize()
{
    if (m_snapshot->is_open(*m_route))
        return std::nullopt;
    m_account = m_call.key ? m_snapshot->find_account(*m_call.key) : nullptr;
    if (m_account == nullptr)
        return http::refusal{http::refusal_type::unauthorized, "unknown API key"};
    return std::nullopt;
}

} // namespace siskinwharf::forwarding
