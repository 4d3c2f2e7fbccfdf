// The part of forwarded_request that passes a request to a peer while this process reaches no endpoint.

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "forwarded_request.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"
#include "siskinwharf/forwarding/relay_header.h"
#include "siskinwharf/http/error.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

using std::chrono::duration_cast;

/// Peers that one request asks at most.
constexpr std::size_t maximum_helpers = 5;
constexpr milliseconds helper_connect_timeout{400};
/// Time until a probe of the paths has begun and ended at the latest, and between two looks at it.
constexpr milliseconds longest_probe{450};
constexpr milliseconds probe_check_interval{20};
constexpr milliseconds retry_after_no_path{200};

bool is_relay_refusal(const http::part_stream& answer)
{
    const auto headers = answer.headers();
    return std::ranges::any_of(headers, [](const auto& header) {
        return http::equal_ignoring_case(header.name, relay_refused_header);
    });
}

} // namespace

bool forwarded_request::is_for_helper() const
{
    return m_options.helpers != nullptr && !m_options.is_relayed && m_state.paths().is_lost() &&
           !m_writer.started();
}

asio::awaitable<void> forwarded_request::wait_for_probe()
{
    if (m_options.helpers == nullptr || m_options.is_relayed)
        co_return;
    const auto end = std::chrono::steady_clock::now() + longest_probe;
    asio::steady_timer timer(m_executor);
    while (!m_is_caller_gone && std::chrono::steady_clock::now() < end) {
        const auto listed = m_state.balancer().endpoints().size();
        const auto& paths = m_state.paths();
        if (paths.is_lost() || !paths.is_suspected(listed, std::chrono::steady_clock::now()))
            co_return;
        timer.expires_after(probe_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> forwarded_request::pass_to_helper()
{
    const auto draw = mix64(hash64(m_call.id.value()));
    auto& choice = m_state.helpers();
    std::vector<dispatch::helper> tried;
    while (tried.size() < maximum_helpers && !m_is_caller_gone) {
        const auto peer =
            choice.choose(m_options.helpers->helpers(), tried, draw, std::chrono::steady_clock::now());
        if (!peer)
            break;
        tried.push_back(*peer);
        log_event(event::request_relayed,
                  {{"request", m_call.id.value()},
                   {"peer", peer->process.value()},
                   {"tried", std::to_string(tried.size())},
                   {"lost_ms",
                    std::to_string(m_state.paths().lost_time(std::chrono::steady_clock::now()).count())}});
        choice.on_started(peer->process);
        const auto end = co_await ask_helper(*peer);
        choice.on_ended(peer->process);
        if (end == relay_end::answered)
            co_return;
        if (end == relay_end::refused)
            continue;
        m_may_have_run = true;
        const bool may_repeat = is_repeatable() && !m_writer.started() &&
                                time_left().value_or(default_request_timeout) > minimum_attempt_time &&
                                m_state.try_repeat(m_service->id, std::chrono::steady_clock::now());
        if (!may_repeat) {
            co_await answer_failure(attempt_end::failed);
            co_return;
        }
    }
    if (m_is_caller_gone)
        co_return;
    http::refusal reason{http::refusal_type::no_endpoint, "no endpoint and no peer that has one is reached",
                         outcome::not_run, retry_after_no_path};
    co_await refuse_attempt(std::move(reason));
}

asio::awaitable<forwarded_request::relay_end> forwarded_request::ask_helper(const dispatch::helper& peer)
{
    const http::address target{peer.ip, peer.port};
    const auto wait = read_timeout();
    const http::call_times times{std::min(helper_connect_timeout, wait), wait};
    auto message = m_codec.encode_for_peer(m_call, time_left());
    if (!m_is_caller_gone)
        m_control = std::make_shared<http::call_control>();
    const auto started = std::chrono::steady_clock::now();
    auto end = relay_end::failed;
    std::string detail = "answered";
    try {
        auto answer = co_await m_client.open_parts(target, std::move(message), times, m_control, m_body);
        end = co_await pass_answer(peer, *answer);
        if (end == relay_end::refused)
            detail = "refused";
    } catch (const http::call_error& error) {
        detail = error.what();
        if (error.stage() == http::call_stage::before_send) {
            m_state.helpers().on_unreachable(peer.process, std::chrono::steady_clock::now());
            end = relay_end::refused;
        }
    } catch (const http::caller_disconnected& error) {
        detail = error.what();
        m_is_caller_gone = true;
    }
    if (m_is_caller_gone)
        end = relay_end::answered;
    const auto taken = duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    log_event(event::relay_ended, {{"request", m_call.id.value()},
                                   {"peer", peer.process.value()},
                                   {"outcome", detail},
                                   {"caller_gone", m_is_caller_gone ? "yes" : "no"},
                                   {"taken_ms", std::to_string(taken.count())}});
    co_return end;
}

asio::awaitable<forwarded_request::relay_end> forwarded_request::pass_answer(const dispatch::helper& peer,
                                                                             http::part_stream& answer)
{
    const auto now = std::chrono::steady_clock::now();
    // A peer signs nothing itself, and passes on only what an endpoint has signed.
    const bool is_signed = m_codec.inspect(answer.status(), answer.headers()).is_signed;
    if (!is_signed && is_relay_refusal(answer)) {
        m_state.helpers().on_refused(peer.process, now);
        co_return relay_end::refused;
    }
    m_state.helpers().on_answered(peer.process, now);
    http::response whole{answer.status(), m_codec.forwarded(answer.headers()), ""};
    if (m_route->kind == deployment::request_kind::stream && is_success(whole.status)) {
        co_await m_writer.begin(whole.status, std::move(whole.headers));
        while (true) {
            check_time_left();
            auto part = co_await answer.next_part(read_timeout());
            if (part.empty())
                break;
            co_await m_writer.write(std::move(part));
        }
        co_await m_writer.finish();
        co_return relay_end::answered;
    }
    if (m_call.message.method == "HEAD")
        copy_length(answer, whole);
    if (co_await read_body(answer, whole) == body_end::held)
        co_await m_writer.send(std::move(whole));
    co_return relay_end::answered;
}

asio::awaitable<void> forwarded_request::refuse_relayed()
{
    log_event(event::request_refused, {{"request", m_call.id.value()},
                                       {"reason", "no_endpoint"},
                                       {"detail", "no path to endpoints for the request of a peer"},
                                       {"outcome", "not_run"}});
    auto response = relay_refusal("no endpoint is reached");
    co_await m_writer.send(std::move(response));
}

} // namespace siskinwharf::forwarding
