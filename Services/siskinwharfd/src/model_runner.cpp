#include "model_runner.h"

#include <limits>
#include <type_traits>
#include <utility>

#include <boost/asio/use_awaitable.hpp>

#include "attempt_ends.h"
#include "engine_calls.h"
#include "pause.h"
#include "request_refused.h"
#include "runner_refusals.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/serving/chat_request.h"
#include "siskinwharf/serving/engine_protocol.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;
using serving::attempt_end;

namespace {

/// An endpoint that does not confirm a stream in this time is frozen or cut off.
constexpr milliseconds header_timeout{2'000};
/// Longest silence of a stream. Prefill of the longest prompts takes seconds; decode steps take milliseconds.
constexpr milliseconds first_token_silence{10'000};
constexpr milliseconds token_silence{3'000};
constexpr milliseconds export_timeout{5'000};
/// Pause before a request that every endpoint refused as full asks them again. Slots that other entry
/// processes free are not announced, and a refusal costs the endpoint little.
constexpr milliseconds refused_pause{50};
constexpr milliseconds retry_budget_pause{50};
constexpr milliseconds retry_budget_retry_after{1'000};
/// How long a request waits for a free slot or a first endpoint before it is refused.
constexpr milliseconds longest_wait_for_slot{1'500};
/// Callers come back to resume within seconds; after that, generating on would only cost.
constexpr milliseconds abandon_grace{20'000};

} // namespace

model_runner::model_runner(entry_core& core, http::client& client, std::shared_ptr<live_request> request)
    : m_core(core),
      m_client(client),
      m_request(std::move(request)),
      m_prefix_hashes(serving::prefix_hashes(m_request->spec().prompt,
                                             routing::routing_options{}.prompt_tokens_per_block)),
      m_prompt_tokens(serving::count_tokens(m_request->spec().prompt)),
      m_suspect(m_core, *m_request),
      m_version(m_core, *m_request)
{
    m_history.deadline = m_request->spec().deadline;
    m_slot_limit = slot_limit();
    // The endpoint needs the other half of the time for its own queue and the prefill. A request that got a
    // slot later would be accepted only to miss its target.
    if (const auto& spec = m_request->spec(); spec.first_token_target > milliseconds(0))
        m_slot_limit = std::min(m_slot_limit, spec.received + spec.first_token_target / 2);
}

void model_runner::record(telemetry::latency kind, nanoseconds duration) const
{
    if (const auto& latencies = m_request->spec().latencies)
        latencies->record(kind, duration);
}

void model_runner::record_tokens(std::size_t count)
{
    if (count == 0)
        return;
    const auto time = now();
    if (m_last_tokens_at == monotonic_time{}) {
        record(telemetry::latency::first_token, time - m_request->spec().received);
    } else {
        // Tokens that arrive together share the pause before them.
        const auto each = (time - m_last_tokens_at) / count;
        for (std::size_t index = 0; index < count; ++index)
            record(telemetry::latency::between_tokens, each);
    }
    m_last_tokens_at = time;
}

monotonic_time model_runner::slot_limit() const
{
    return std::min(now() + longest_wait_for_slot, m_history.deadline);
}

asio::awaitable<void> model_runner::run()
{
    try {
        co_await run_attempts();
    } catch (const request_refused& refused) {
        auto reason = refused.reason();
        // What refuses the request now does not know what an earlier attempt has done.
        if (reason.result == outcome::not_run)
            reason.result = refusal_outcome();
        m_request->fail(std::move(reason));
    } catch (const std::exception& error) {
        m_request->fail({http::refusal_type::internal, error.what(), outcome::unknown});
    }
    m_suspect.leave();
    m_request->ended_at = now();
}

asio::awaitable<void> model_runner::run_attempts()
{
    m_core.retries.on_first_attempt();
    auto restored = take_restored_endpoint();
    while (!m_request->ended()) {
        const bool resumes = restored.has_value();
        routing::chosen_endpoint chosen;
        if (resumes)
            chosen = std::move(*std::exchange(restored, std::nullopt));
        else
            chosen = co_await acquire();
        const auto acquired_at = now();
        if (m_history.attempts == 0 && !m_refused_full)
            record(telemetry::latency::queue_wait, acquired_at - m_request->spec().received);
        const auto endpoint = chosen.endpoint;
        ++m_history.attempts;
        const bool imports = endpoint->id == m_planned_target && !m_exported_kv.empty();
        attempt_end end{};
        if (resumes)
            end = co_await resume_attempt(chosen);
        else if (imports)
            end = co_await import_attempt(chosen, std::exchange(m_exported_kv, {}));
        else
            end = co_await run_attempt(chosen);
        if (m_request->ended())
            co_return;
        // The endpoint may have received the request and may still run it.
        if (end == attempt_end::connection_lost || end == attempt_end::endpoint_stalled)
            m_may_have_run = true;
        m_planned_target = {};
        m_exported_kv.clear();
        // A full endpoint has not tried the request; the time limit bounds how often it is asked.
        if (end == attempt_end::refused_full)
            --m_history.attempts;
        auto step = serving::decide_next_step(end, m_history, now());
        while (const auto* resume = std::get_if<serving::resume_stream>(&step)) {
            ++m_history.resumes_without_progress;
            co_await pause_for(resume->pause);
            end = co_await resume_attempt(chosen);
            step = serving::decide_next_step(end, m_history, now());
        }
        release(chosen, acquired_at);
        if (std::holds_alternative<serving::deliver_end>(step)) {
            m_suspect.note_finished();
            record(telemetry::latency::whole_answer, now() - m_request->spec().received);
            m_request->finish();
            co_return;
        }
        if (const auto* reason = std::get_if<serving::give_up_reason>(&step)) {
            co_await cancel_at(endpoint);
            throw request_refused(failure_for(*reason, refusal_outcome()));
        }
        const auto& next = std::get<serving::continue_elsewhere>(step);
        apply(next, *endpoint, end);
        if (end == attempt_end::move_requested)
            co_await prepare_move();
        m_request->detach();
        if (next.needs_retry_budget && !m_history.accepted)
            co_await wait_for_retry();
    }
}

void model_runner::release(routing::chosen_endpoint& chosen, monotonic_time acquired_at)
{
    const auto& spec = m_request->spec();
    const auto time = now();
    slot_usage usage;
    usage.held = time - acquired_at;
    usage.tokens_per_second = m_request->tokens_per_second();
    if (m_request->assembler().complete())
        usage.share_of_maximum = static_cast<double>(m_request->tokens().size()) / spec.max_tokens;
    chosen.guard.release(time);
    const routing::target target = routing::model_target{spec.model, spec.version};
    m_suspect.leave();
    m_core.gate.on_release(target, usage);
}

asio::awaitable<void> model_runner::wait_for_retry()
{
    // Waiting costs the endpoints nothing, and other requests fill the budget meanwhile.
    while (!m_core.retries.try_retry()) {
        if (now() >= m_slot_limit)
            throw request_refused({http::refusal_type::retry_budget_exhausted,
                                   "too many requests are being retried", outcome::not_run,
                                   retry_budget_retry_after});
        co_await pause_for(retry_budget_pause);
    }
}

asio::awaitable<routing::chosen_endpoint> model_runner::acquire()
{
    co_await m_suspect.confirm_quarantine();
    while (true) {
        if (m_suspect.must_isolate(m_history.accepted)) {
            auto routing = make_routing_request();
            if (auto isolated = co_await m_suspect.acquire(std::move(routing)))
                co_return std::move(*isolated);
            // A copy at another entry process may have crashed another endpoint meanwhile.
            (void)m_suspect.must_isolate(m_history.accepted);
        }
        if (auto planned = take_planned_target())
            co_return std::move(*planned);
        m_version.choose(m_excluded);
        const auto limit = m_history.accepted ? m_history.deadline : m_slot_limit;
        if (m_refused_full && now() >= limit)
            throw request_refused(refusal_for(routing::no_endpoint::all_full, refusal_outcome()));
        slot_request wanted;
        wanted.routing = make_routing_request();
        wanted.share = m_request->spec().share;
        wanted.deadline = m_history.deadline;
        wanted.give_up_at = m_version.limit_of_wait(limit);
        const bool had_turn = m_history.attempts > 0 || !m_excluded.empty() || m_refused_full;
        if (m_history.accepted)
            wanted.priority = slot_priority::accepted;
        else if (had_turn)
            wanted.priority = slot_priority::retry;
        auto decision = co_await m_core.gate.acquire(std::move(wanted));
        if (auto* chosen = std::get_if<routing::chosen_endpoint>(&decision))
            co_return std::move(*chosen);
        if (const auto* refusal = std::get_if<http::refusal>(&decision))
            throw request_refused(*refusal);
        const auto reason = std::get<routing::no_endpoint>(decision);
        const bool all_excluded =
            reason == routing::no_endpoint::no_endpoint_for_target && !m_excluded.empty();
        if (all_excluded)
            m_excluded.clear();
        // The endpoints of the version were drained while the request waited.
        if (m_version.choose(m_excluded))
            continue;
        m_version.refuse_if_gone(now());
        const bool waits = m_history.accepted || reason == routing::no_endpoint::all_full ||
                           (all_excluded && m_refused_full);
        if (!waits || now() >= limit)
            throw request_refused(
                refusal_for(m_refused_full ? routing::no_endpoint::all_full : reason, refusal_outcome()));
        co_await pause_for(refused_pause);
    }
}

std::optional<routing::chosen_endpoint> model_runner::take_restored_endpoint()
{
    if (m_request->current_phase() != live_request::phase::accepted)
        return std::nullopt;
    m_history.accepted = true;
    const auto& id = m_request->restored_endpoint();
    const auto info = m_core.table.find_info(id);
    const auto load = m_core.table.find_load(id);
    const auto output_tokens = m_request->spec().max_tokens;
    // The endpoint counts the stream already, so its capacity does not limit the reservation.
    if (!info || !load ||
        !load->try_acquire_slot(now(), std::numeric_limits<std::uint32_t>::max(), 0, output_tokens))
        return std::nullopt;
    return routing::chosen_endpoint{info, routing::in_flight_guard(load, 0, output_tokens, now()), 0,
                                    nanoseconds(0)};
}

std::optional<routing::chosen_endpoint> model_runner::take_planned_target()
{
    if (m_planned_target.empty())
        return std::nullopt;
    const auto info = m_core.table.find_info(m_planned_target);
    const auto load = m_core.table.find_load(m_planned_target);
    const std::uint64_t prompt_tokens =
        m_exported_kv.empty() ? m_prompt_tokens + m_request->tokens().size() : 0;
    const auto output_tokens = m_request->spec().max_tokens;
    if (info && load && info->state == routing::endpoint_state::live &&
        !m_core.isolation.is_reserved(info->serves, info->id) &&
        load->try_acquire_slot(now(), info->capacity, prompt_tokens, output_tokens))
        return routing::chosen_endpoint{
            info, routing::in_flight_guard(load, prompt_tokens, output_tokens, now()), 0, nanoseconds(0)};
    m_planned_target = {};
    return std::nullopt;
}

asio::awaitable<attempt_end> model_runner::run_attempt(routing::chosen_endpoint& chosen)
{
    const auto& spec = m_request->spec();
    if (m_history.accepted)
        m_core.metrics.count_recomputed(m_prompt_tokens + m_request->tokens().size());
    serving::stream_request order;
    order.stream_id = stream_id_of(spec);
    order.attempt = m_request->assembler().begin_attempt();
    order.model = spec.model.value();
    order.version = spec.version;
    order.prompt = spec.prompt;
    order.max_tokens = spec.max_tokens;
    auto message =
        make_request("POST", "/streams", "", serving::render_stream_request(order, m_request->tokens()));
    m_request->attach(chosen.endpoint, nullptr);
    std::unique_ptr<http::line_stream> stream;
    try {
        stream = co_await m_client.open(address_of(*chosen.endpoint), std::move(message), header_timeout);
    } catch (const http::call_error& error) {
        if (error.stage() == http::call_stage::before_send)
            co_return attempt_end::unreachable;
        co_return error.timed_out() ? attempt_end::endpoint_stalled : attempt_end::connection_lost;
    }
    co_return co_await follow(chosen, *stream);
}

asio::awaitable<attempt_end> model_runner::resume_attempt(routing::chosen_endpoint& chosen)
{
    const auto path = path_of_stream(stream_id_of(m_request->spec()));
    auto message = make_request("GET", path, "offset=" + std::to_string(m_request->tokens().size()), "");
    std::unique_ptr<http::line_stream> stream;
    try {
        stream = co_await m_client.open(address_of(*chosen.endpoint), std::move(message), header_timeout);
    } catch (const http::call_error& error) {
        co_return error.timed_out() ? attempt_end::endpoint_stalled : attempt_end::endpoint_lost;
    }
    if (stream->status() == 404)
        co_return m_history.accepted ? attempt_end::endpoint_lost : attempt_end::stream_missing;
    const auto before = m_request->tokens().size();
    const auto end = co_await follow(chosen, *stream);
    if (m_request->tokens().size() > before)
        m_history.resumes_without_progress = 0;
    co_return end;
}

asio::awaitable<attempt_end> model_runner::import_attempt(routing::chosen_endpoint& chosen, std::string kv)
{
    auto message = make_import(stream_id_of(m_request->spec()), m_request->assembler().begin_attempt(), kv,
                               m_request->tokens().size());
    m_request->attach(chosen.endpoint, nullptr);
    std::unique_ptr<http::line_stream> stream;
    try {
        stream = co_await m_client.open(address_of(*chosen.endpoint), std::move(message), header_timeout);
    } catch (const http::call_error&) {
        co_return attempt_end::unreachable;
    }
    co_return co_await follow(chosen, *stream);
}

asio::awaitable<attempt_end> model_runner::follow(routing::chosen_endpoint& chosen, http::line_stream& stream)
{
    std::string lines;
    try {
        if (stream.status() != 200) {
            lines = co_await stream.next_lines(header_timeout);
            co_return end_of_refusal(stream.status(), lines);
        }
        m_request->attach(chosen.endpoint, &stream);
        m_history.accepted = true;
        m_request->accept();
        bool ended = false;
        while (!ended) {
            const bool first = m_request->tokens().empty();
            lines = co_await stream.next_lines(first ? first_token_silence : token_silence);
            if (lines.empty())
                break;
            const auto before = m_request->tokens().size();
            take_lines(lines, ended);
            const auto arrived = m_request->tokens().size() - before;
            m_request->note_tokens(arrived, now());
            record_tokens(arrived);
            if (arrived > 0)
                chosen.guard.prefill_done(now());
            m_request->notify();
            if (m_request->readers == 0 && now() - m_request->abandoned_at > abandon_grace) {
                m_request->attach(chosen.endpoint, nullptr);
                co_await cancel_at(chosen.endpoint);
                throw request_refused(
                    {http::refusal_type::deadline_exceeded, "no caller reads the answer", outcome::unknown});
            }
        }
        m_request->attach(chosen.endpoint, nullptr);
        if (!m_request->assembler().complete())
            co_return attempt_end::connection_lost;
        // Reading to the end of the body lets the connection be kept.
        co_await stream.next_lines(header_timeout);
        co_return attempt_end::completed;
    } catch (const http::call_error& error) {
        m_request->attach(chosen.endpoint, nullptr);
        if (m_request->assembler().complete())
            co_return attempt_end::completed;
        if (m_request->has_move())
            co_return attempt_end::move_requested;
        co_return attempt_end::connection_lost;
    }
}

void model_runner::take_lines(const std::string& lines, bool& ended)
{
    auto& assembler = m_request->assembler();
    serving::visit_engine_lines(lines, [&]<typename Event>(Event event) {
        if constexpr (std::is_same_v<Event, serving::token_event>) {
            assembler.accept({assembler.attempt(), event.offset, std::move(event.token)});
        } else {
            assembler.finish(assembler.attempt(), event.offset);
            ended = true;
        }
    });
}

asio::awaitable<void> model_runner::prepare_move()
{
    const auto move = m_request->take_move();
    const auto endpoint = m_request->endpoint();
    if (!move || !endpoint)
        co_return;
    m_planned_target = move->to;
    if (!move->with_cache)
        co_return;
    auto message = make_export(stream_id_of(m_request->spec()));
    try {
        const auto answer =
            co_await m_client.call(address_of(*endpoint), std::move(message), export_timeout, false);
        if (answer.status != 200)
            co_return;
        m_exported_kv = exported_cache_of(answer.body);
    } catch (const http::call_error&) {
        // Without the cache the stream continues from its tokens.
        co_return;
    }
}

asio::awaitable<void> model_runner::cancel_at(std::shared_ptr<const routing::endpoint_info> endpoint)
{
    const auto path = path_of_stream(stream_id_of(m_request->spec()));
    auto message = make_request("DELETE", path, "", "");
    try {
        co_await m_client.call(address_of(*endpoint), std::move(message), header_timeout);
    } catch (const http::call_error&) {
        // The endpoint ends a stream without a reader by itself.
    }
}

void model_runner::apply(const serving::continue_elsewhere& step, const routing::endpoint_info& endpoint,
                         attempt_end end)
{
    const auto& spec = m_request->spec();
    if (end == attempt_end::refused_leaving && m_core.report_endpoint)
        m_core.report_endpoint(endpoint.id, endpoint_report::leaving);
    if (step.count_crash)
        m_suspect.note_crash(endpoint);
    if (end == attempt_end::endpoint_lost && m_core.report_endpoint)
        m_core.report_endpoint(endpoint.id, endpoint_report::dead);
    m_refused_full = end == attempt_end::refused_full;
    // The limit runs from the end of the last attempt that an endpoint took.
    if (!m_refused_full)
        m_slot_limit = slot_limit();
    if (step.exclude_endpoint)
        m_excluded.push_back(endpoint.id);
    m_history.resumes_without_progress = 0;
    if (end == attempt_end::move_requested)
        m_core.metrics.count_move();
    const auto& kind = end == attempt_end::move_requested ? event::request_moved : event::attempt_failed;
    log_event(kind, {{"request", spec.id.value()},
                     {"endpoint", endpoint.id.value()},
                     {"end", std::string(to_text(end))},
                     {"offset", std::to_string(m_request->tokens().size())}});
}

routing::routing_request model_runner::make_routing_request() const
{
    const auto& spec = m_request->spec();
    const auto produced = static_cast<std::uint32_t>(m_request->tokens().size());
    routing::routing_request result;
    result.account = spec.account;
    result.serves = routing::model_target{spec.model, spec.version};
    result.region = m_core.settings.region;
    result.domain = m_core.settings.failure_domain;
    result.prefix_hashes = m_prefix_hashes;
    result.prompt_tokens = static_cast<std::uint32_t>(m_prompt_tokens) + produced;
    result.output_tokens = spec.max_tokens - std::min(produced, spec.max_tokens);
    // An accepted request runs wherever it can; only before acceptance can a missed target still be refused.
    if (!m_history.accepted)
        result.first_token_target = spec.first_token_target;
    result.excluded = m_excluded;
    return result;
}

outcome model_runner::refusal_outcome() const
{
    return m_history.accepted || m_may_have_run ? outcome::unknown : outcome::not_run;
}

} // namespace siskinwharf::entry
