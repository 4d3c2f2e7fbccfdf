#include "caller_api.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "engine_calls.h"
#include "engine_relay.h"
#include "reader_guard.h"
#include "request_key.h"
#include "request_refused.h"
#include "siskinwharf/base/event_log.h"
#include "siskinwharf/serving/chat_request.h"
#include "siskinwharf/serving/chat_response.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;
using http::refusal_type;

namespace {

/// Deadline of a request whose caller names none.
constexpr milliseconds default_deadline{120'000};
constexpr milliseconds longest_deadline{600'000};
constexpr std::size_t longest_request_id = 64;
constexpr std::size_t longest_idempotency_key = 256;
/// An engine answers a query for a stream at once; one that does not is frozen or cut off.
constexpr milliseconds engine_query_timeout{2'000};
/// Longest silence of a stream that a peer relays.
constexpr milliseconds relay_timeout{10'000};
constexpr std::string_view services_prefix = "/services/";

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool is_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= longest_request_id &&
           std::ranges::all_of(text, [](char character) {
               return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
                      (character >= '0' && character <= '9') || character == '-' || character == '_' ||
                      character == '.';
           });
}

milliseconds deadline_of(const http::request& message)
{
    const auto header = message.find_header("Siskinwharf-Deadline-Ms");
    if (!header)
        return default_deadline;
    const auto value = parse_number(*header);
    if (!value || *value == 0 || milliseconds(*value) > longest_deadline)
        throw request_refused(
            {refusal_type::malformed, "header Siskinwharf-Deadline-Ms must be from 1 to 600000"});
    return milliseconds(*value);
}

std::vector<http::header_field> stream_headers(const request_id& id)
{
    return {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {"Siskinwharf-Request-Id", id.value()}};
}

/// Ends the connection to the caller of a request that goes on at a peer: a caller resumes a broken stream by
/// its request id, through any entry process.
void refuse_if_handed_over(const live_request& request)
{
    if (request.current_phase() == live_request::phase::handed_over)
        throw http::caller_disconnected("the request was handed over to a peer");
}

} // namespace

caller_api::caller_api(entry_core& core, worker& own, const std::vector<std::unique_ptr<worker>>& workers,
                       claim_committer& committer, holder_query query)
    : m_core(core), m_worker(own), m_workers(workers), m_committer(committer), m_query(std::move(query))
{
}

asio::awaitable<void> caller_api::handle(http::request message, http::response_writer& writer)
{
    std::optional<http::refusal> reason;
    try {
        co_await dispatch(std::move(message), writer);
    } catch (const request_refused& refused) {
        reason = refused.reason();
    }
    if (!reason)
        co_return;
    m_core.metrics.count_refusal(reason->type);
    log_event(event::request_refused, {{"type", std::string(http::to_string(reason->type))},
                                       {"outcome", std::string(to_string(reason->result))},
                                       {"message", reason->message}});
    co_await writer.send(http::to_response(*reason));
}

asio::awaitable<void> caller_api::dispatch(http::request message, http::response_writer& writer)
{
    if (message.path == "/readyz") {
        const bool ready = !m_core.stopping && m_core.is_ready(now());
        co_await writer.send(
            http::json_response(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
        co_return;
    }
    if (message.path == "/v1/chat/completions") {
        if (message.method != "POST")
            throw request_refused({refusal_type::method_not_allowed, "use POST"});
        co_await create_completion(std::move(message), writer);
        co_return;
    }
    if (message.path.starts_with("/v1/requests/")) {
        co_await resume_answer(std::move(message), writer);
        co_return;
    }
    if (message.path.starts_with(services_prefix)) {
        co_await call_service(std::move(message), writer);
        co_return;
    }
    if (message.path == "/v1/models") {
        co_await list_models(std::move(message), writer);
        co_return;
    }
    throw request_refused({refusal_type::not_found, "no such path"});
}

void caller_api::refuse_if_stopping() const
{
    if (m_core.stopping)
        throw request_refused(
            {refusal_type::stopping, "this entry process is stopping", outcome::not_run, seconds(1)});
}

std::shared_ptr<const sheet_view> caller_api::require_sheet()
{
    auto sheet = m_worker.current_sheet();
    if (!sheet || !m_core.is_ready(now()))
        throw request_refused(
            {refusal_type::not_ready, "no sheet is in force yet", outcome::not_run, seconds(1)});
    return sheet;
}

const sheet::account_entry& caller_api::authenticate(const sheet_view& sheet,
                                                     const http::request& message) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = message.find_header("Authorization");
    if (!header || !header->starts_with(scheme))
        throw request_refused(
            {refusal_type::unauthorized, "header Authorization: Bearer <API key> is missing"});
    const auto* account = sheet.find_account(header->substr(scheme.size()));
    if (account == nullptr)
        throw request_refused({refusal_type::unauthorized, "the API key is not known"});
    return *account;
}

request_spec caller_api::admit(const sheet_view& sheet, const http::request& message)
{
    const auto& account = authenticate(sheet, message);
    request_spec spec;
    try {
        auto chat = serving::parse_chat_request(message.body);
        spec.model = std::move(chat.model);
        spec.prompt = std::move(chat.prompt);
        spec.max_tokens = chat.max_tokens;
        spec.streaming = chat.streaming;
    } catch (const serving::chat_request_error& error) {
        throw request_refused({refusal_type::malformed, error.what()});
    }
    const auto* grant = sheet.find_grant(account.account, spec.model.value());
    const auto* model = sheet.find_model(spec.model);
    if (grant == nullptr || model == nullptr)
        throw request_refused({refusal_type::forbidden, "the account may not use this model"});
    if (std::ranges::find(grant->regions, m_core.settings.region) == grant->regions.end())
        throw request_refused({refusal_type::forbidden, "the account may not use this model in this region"});
    spec.account = account.account;
    spec.version = model->version;
    spec.versions = sheet.serving_versions(spec.model);
    spec.received = now();
    spec.deadline = spec.received + deadline_of(message);
    spec.first_token_target = grant->first_token;
    spec.share = account.share;
    spec.latencies = m_worker.latencies(account.account, spec.model.value());
    if (const auto id = message.find_header("Siskinwharf-Request-Id")) {
        if (!is_request_id(*id))
            throw request_refused({refusal_type::malformed,
                                   "header Siskinwharf-Request-Id must be 1 to 64 of A-Z a-z 0-9 - _ ."});
        spec.id = request_id(std::string(*id));
    } else {
        spec.id = request_id(
            fmt::format("{}-{:x}", m_core.settings.instance.value(), m_core.next_number.fetch_add(1)));
    }
    return spec;
}

asio::awaitable<void> caller_api::create_completion(http::request message, http::response_writer& writer)
{
    refuse_if_stopping();
    const auto sheet = require_sheet();
    auto spec = admit(*sheet, message);
    if (!m_core.quarantine.is_empty() &&
        m_core.quarantine.status(content_key_of(spec), now()) == admission::content_status::quarantined)
        throw request_refused({refusal_type::quarantined, "the request has crashed endpoints"});
    const bool streaming = spec.streaming;
    auto request = m_worker.submit(std::move(spec));
    const reader_guard reader(*request);
    while (request->current_phase() == live_request::phase::waiting)
        co_await request->wait_for_change();
    if (request->current_phase() == live_request::phase::failed && request->tokens().empty())
        throw request_refused(*request->failure());
    log_event(event::request_accepted,
              {{"request", request->spec().id.value()}, {"account", request->spec().account.value()}});
    if (streaming)
        co_await stream_answer(std::move(request), writer);
    else
        co_await send_whole_answer(std::move(request), writer);
}

asio::awaitable<void> caller_api::stream_answer(std::shared_ptr<live_request> request,
                                                http::response_writer& writer)
{
    co_await writer.begin(200, stream_headers(request->spec().id));
    std::uint64_t delivered = 0;
    while (true) {
        if (request->tokens().size() > delivered) {
            const auto tokens = std::span(request->tokens()).subspan(delivered);
            auto events = serving::render_events(request->identity(), tokens, delivered);
            delivered = request->tokens().size();
            co_await writer.write(std::move(events));
            continue;
        }
        if (request->ended())
            break;
        co_await request->wait_for_change();
    }
    refuse_if_handed_over(*request);
    if (request->failure())
        co_await writer.write(serving::render_error_event(*request->failure()));
    else
        co_await writer.write(serving::render_end_events(request->identity()));
    co_await writer.finish();
    log_event(event::request_finished,
              {{"request", request->spec().id.value()}, {"tokens", std::to_string(delivered)}});
}

asio::awaitable<void> caller_api::send_whole_answer(std::shared_ptr<live_request> request,
                                                    http::response_writer& writer)
{
    while (!request->ended())
        co_await request->wait_for_change();
    refuse_if_handed_over(*request);
    if (request->failure())
        throw request_refused(*request->failure());
    auto answer =
        http::json_response(200, serving::render_completion(request->identity(), request->tokens(),
                                                            serving::count_tokens(request->spec().prompt)));
    answer.headers.push_back({"Siskinwharf-Request-Id", request->spec().id.value()});
    co_await writer.send(std::move(answer));
}

asio::awaitable<void> caller_api::resume_answer(http::request message, http::response_writer& writer)
{
    if (message.method != "GET")
        throw request_refused({refusal_type::method_not_allowed, "use GET"});
    const auto sheet = require_sheet();
    const auto& account = authenticate(*sheet, message);
    const request_id id(message.path.substr(std::string_view("/v1/requests/").size()));
    const auto offset_text = message.find_parameter("offset").value_or("0");
    const auto offset = parse_number(offset_text);
    if (!offset || !is_request_id(id.value()))
        throw request_refused({refusal_type::malformed, "the path must be /v1/requests/<id>?offset=<n>"});
    for (const auto& owner : m_workers) {
        auto part = co_await worker::read_answer(*owner, account.account, id, *offset);
        if (!part || part->phase == live_request::phase::handed_over)
            continue;
        co_await send_parts(*owner, account.account, id, std::move(*part), writer);
        co_return;
    }
    const bool forwarded = message.find_header("Siskinwharf-Forwarded").has_value();
    if (!forwarded && co_await relay_from_peer(message, account.account, id, writer))
        co_return;
    if (!forwarded && co_await relay_from_engine(*sheet, account.account, id, *offset, writer))
        co_return;
    throw request_refused({refusal_type::not_found,
                           "no entry process of this failure domain knows the request", outcome::unknown,
                           milliseconds(500)});
}

asio::awaitable<void> caller_api::send_parts(worker& owner, account_id account, request_id id,
                                             answer_part first, http::response_writer& writer)
{
    auto delivered = first.first_offset;
    std::optional<answer_part> part = std::move(first);
    auto headers = stream_headers(id);
    co_await writer.begin(200, std::move(headers));
    while (true) {
        auto events = serving::render_events(part->identity, part->tokens, delivered);
        delivered += part->tokens.size();
        co_await writer.write(std::move(events));
        if (part->tokens.empty())
            break;
        part = co_await worker::read_answer(owner, account, id, delivered);
        if (!part || part->phase == live_request::phase::handed_over)
            throw http::caller_disconnected("the request was handed over to a peer");
    }
    if (part->failure)
        co_await writer.write(serving::render_error_event(*part->failure));
    else
        co_await writer.write(serving::render_end_events(part->identity));
    co_await writer.finish();
}

asio::awaitable<bool> caller_api::relay_from_peer(const http::request& message, account_id account,
                                                  request_id id, http::response_writer& writer)
{
    if (!m_core.find_holder)
        co_return false;
    const auto holder = co_await m_core.find_holder(request_id(request_key(account, id)));
    if (!holder)
        co_return false;
    // FIXME: A holder whose caller listener uses TLS cannot be reached here.
    http::request forwarded{"GET", message.path, message.query, {}, ""};
    forwarded.has_empty_query = message.has_empty_query;
    forwarded.headers.push_back(
        {"Authorization", std::string(message.find_header("Authorization").value_or(""))});
    forwarded.headers.push_back({"Siskinwharf-Forwarded", "1"});
    try {
        const auto stream = co_await m_worker.client().open(*holder, std::move(forwarded), relay_timeout);
        if (stream->status() != 200)
            co_return false;
        auto headers = stream_headers(id);
        co_await writer.begin(200, std::move(headers));
        while (true) {
            auto lines = co_await stream->next_lines(relay_timeout);
            if (lines.empty())
                break;
            co_await writer.write(std::move(lines));
        }
    } catch (const http::call_error& error) {
        if (writer.started())
            throw http::caller_disconnected(error.what());
        co_return false;
    }
    co_await writer.finish();
    co_return true;
}

asio::awaitable<bool> caller_api::relay_from_engine(const sheet_view& sheet, account_id account,
                                                    request_id id, std::uint64_t offset,
                                                    http::response_writer& writer)
{
    std::vector<std::shared_ptr<const routing::endpoint_info>> candidates;
    {
        const routing::rcu_read_section section;
        for (const auto& [endpoint, entry] : m_core.table.read(section).endpoints) {
            const auto* model = std::get_if<routing::model_target>(&entry.info->serves);
            if (model != nullptr && sheet.find_grant(account, model->model.value()) != nullptr)
                candidates.push_back(entry.info);
        }
    }
    // A stream that was moved on a reclaim can run in another failure domain.
    std::partition(candidates.begin(), candidates.end(),
                   [&](const auto& endpoint) { return endpoint->domain == m_core.settings.failure_domain; });
    const auto stream_id = request_key(account, id);
    const auto path = path_of_stream(stream_id);
    for (const auto& endpoint : candidates) {
        http::request query{"GET", path, "offset=" + std::to_string(offset), {}, ""};
        std::unique_ptr<http::line_stream> stream;
        try {
            stream = co_await m_worker.client().open(address_of(*endpoint), std::move(query),
                                                     engine_query_timeout);
        } catch (const http::call_error&) {
            continue;
        }
        if (stream->status() != 200)
            continue;
        const serving::answer_identity identity{
            id.value(), std::get<routing::model_target>(endpoint->serves).model.value(), 0};
        auto headers = stream_headers(id);
        co_await writer.begin(200, std::move(headers));
        orphaned_stream orphan{account, identity, stream_id, endpoint};
        engine_relay relay(m_core, m_worker.client(), std::move(orphan), offset, writer);
        co_await relay.run(std::move(stream));
        co_return true;
    }
    co_return false;
}

service_call caller_api::admit_call(const sheet_view& sheet, http::request message) const
{
    const auto& account = authenticate(sheet, message);
    const auto rest = message.path.substr(services_prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    service_call call;
    call.account = account.account;
    call.service = service_id(rest.substr(0, slash));
    call.deadline = now() + deadline_of(message);
    const auto* service = sheet.find_service(call.service);
    const auto* grant = sheet.find_grant(account.account, call.service.value());
    if (service == nullptr || grant == nullptr ||
        std::ranges::find(grant->regions, m_core.settings.region) == grant->regions.end())
        throw request_refused({refusal_type::forbidden, "the account may not use this service here"});
    call.forwarded.method = message.method;
    call.forwarded.path = slash == rest.size() ? "/" : rest.substr(slash);
    call.forwarded.query = message.query;
    call.forwarded.has_empty_query = message.has_empty_query;
    // A path with encoded characters or dot segments could hide a prefix whose calls must not be repeated.
    if (call.forwarded.path.find('%') != std::string::npos ||
        call.forwarded.path.find("/.") != std::string::npos ||
        call.forwarded.path.find("//") != std::string::npos)
        throw request_refused(
            {refusal_type::malformed, "the path of a service call must be in its plain form"});
    call.idempotent = std::ranges::none_of(service->non_idempotent_prefixes, [&](const auto& prefix) {
        return call.forwarded.path.starts_with(prefix);
    });
    if (const auto key = message.find_header("Idempotency-Key"))
        call.idempotency_key = std::string(*key);
    if (!call.idempotent &&
        (call.idempotency_key.empty() || call.idempotency_key.size() > longest_idempotency_key))
        throw request_refused(
            {refusal_type::idempotency_key_missing,
             "a call that must not be repeated needs an Idempotency-Key of 1 to 256 bytes"});
    if (const auto token = message.find_header("Siskinwharf-Release-Token"))
        call.release_token = std::string(*token);
    for (const auto* name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        if (const auto value = message.find_header(name))
            call.forwarded.headers.push_back({name, std::string(*value)});
    }
    call.forwarded.headers.push_back({"Siskinwharf-Account", call.account.value()});
    call.forwarded.body = std::move(message.body);
    return call;
}

asio::awaitable<void> caller_api::call_service(http::request message, http::response_writer& writer)
{
    refuse_if_stopping();
    const auto sheet = require_sheet();
    service_runner runner(m_core, m_worker.client(), m_committer, m_query,
                          admit_call(*sheet, std::move(message)));
    co_await runner.run(writer);
}

asio::awaitable<void> caller_api::list_models(http::request message, http::response_writer& writer)
{
    const auto sheet = require_sheet();
    const auto& account = authenticate(*sheet, message);
    boost::json::array models;
    for (const auto& model : sheet->value().models) {
        if (sheet->find_grant(account.account, model.model.value()) != nullptr)
            models.push_back({{"id", model.model.value()}, {"object", "model"}, {"owned_by", "siskinwharf"}});
    }
    const boost::json::object body{{"object", "list"}, {"data", std::move(models)}};
    co_await writer.send(http::json_response(200, boost::json::serialize(body)));
}

} // namespace siskinwharf::entry
