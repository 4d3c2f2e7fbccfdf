#include "worker.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "handover.h"
#include "model_runner.h"
#include "reader_guard.h"
#include "request_key.h"
#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// How long an ended answer can still be fetched.
constexpr seconds retention{60};
constexpr seconds expiry_period{5};

} // namespace

worker::worker(entry_core& core)
    : m_core(core),
      m_work(asio::make_work_guard(m_context)),
      m_client(m_context.get_executor()),
      m_reclaims(core, *this)
{
}

worker::~worker()
{
    stop();
}

void worker::start()
{
    asio::co_spawn(m_context, expire_requests(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

void worker::stop()
{
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

std::shared_ptr<const sheet_view> worker::current_sheet()
{
    if (m_sheet && m_sheet->version() == m_core.sheets.version())
        return m_sheet;
    if (auto current = m_core.sheets.current())
        m_sheet = std::make_shared<const sheet_view>(std::move(current));
    return m_sheet;
}

const std::shared_ptr<telemetry::latency_histograms>& worker::latencies(const account_id& account,
                                                                        const std::string& request_class)
{
    auto& known = m_latencies[std::pair(account, request_class)];
    if (!known)
        known = m_core.metrics.registry().histograms(account, request_class);
    return known;
}

std::shared_ptr<live_request> worker::submit(request_spec spec)
{
    const auto key = request_key(spec.account, spec.id);
    if (const auto found = m_requests.find(key); found != m_requests.end())
        return found->second;
    auto request = std::make_shared<live_request>(m_context.get_executor(), std::move(spec));
    m_requests.emplace(key, request);
    asio::co_spawn(m_context, run_request(request), asio::detached);
    return request;
}

std::shared_ptr<live_request> worker::find(const account_id& account, const request_id& id) const
{
    const auto found = m_requests.find(request_key(account, id));
    return found == m_requests.end() ? nullptr : found->second;
}

std::size_t worker::active_requests() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_requests, [](const auto& entry) { return !entry.second->ended(); }));
}

asio::awaitable<void> worker::run_request(std::shared_ptr<live_request> request)
{
    model_runner runner(m_core, m_client, request);
    co_await runner.run();
    // A request that was refused before acceptance leaves nothing to fetch, and its id can be used again.
    if (request->current_phase() == live_request::phase::failed && request->tokens().empty())
        m_requests.erase(request_key(request->spec().account, request->spec().id));
}

asio::awaitable<void> worker::expire_requests()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(expiry_period);
        if (const auto [error] = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable)); error)
            co_return;
        const auto time = now();
        m_core.quarantine.expire(time);
        std::erase_if(m_requests, [time](const auto& entry) {
            return entry.second->ended() && time - entry.second->ended_at > retention;
        });
    }
}

asio::awaitable<std::optional<answer_part>> worker::read_answer(worker& owner, account_id account,
                                                                request_id id, std::uint64_t offset)
{
    // The operation is a named object: g++ 12 destroys a lambda's captures twice if it is made in a co_await
    // expression.
    auto operation = owner.read_answer_here(std::move(account), std::move(id), offset);
    co_return co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<std::optional<answer_part>> worker::read_answer_here(account_id account, request_id id,
                                                                     std::uint64_t offset)
{
    const auto request = find(account, id);
    if (!request)
        co_return std::nullopt;
    const reader_guard reader(*request);
    while (!request->ended() && request->tokens().size() <= offset)
        co_await request->wait_for_change();
    answer_part part;
    const auto& tokens = request->tokens();
    if (offset < tokens.size())
        part.tokens.assign(tokens.begin() + static_cast<std::ptrdiff_t>(offset), tokens.end());
    part.first_offset = offset;
    part.phase = request->current_phase();
    part.failure = request->failure();
    part.identity = request->identity();
    co_return part;
}

asio::awaitable<std::size_t> worker::count_active(worker& owner)
{
    auto operation = owner.count_active_here();
    co_return co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<std::size_t> worker::count_active_here()
{
    co_return active_requests();
}

asio::awaitable<peer::locate_state> worker::locate(worker& owner, std::string key)
{
    auto operation = owner.locate_here(std::move(key));
    co_return co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<peer::locate_state> worker::locate_here(std::string key)
{
    const auto found = m_requests.find(key);
    if (found == m_requests.end() || found->second->current_phase() == live_request::phase::handed_over)
        co_return peer::locate_state::unknown;
    co_return found->second->ended() ? peer::locate_state::done : peer::locate_state::running;
}

asio::awaitable<bool> worker::adopt(worker& owner, peer::request_record record)
{
    auto operation = owner.adopt_here(std::move(record));
    co_return co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<bool> worker::adopt_here(peer::request_record record)
{
    auto request = from_record(m_context.get_executor(), record, now());
    if (!request)
        co_return false;
    const auto key = request_key(request->spec().account, request->spec().id);
    // A record can arrive twice, when the answer to the first was lost.
    if (m_requests.contains(key))
        co_return true;
    m_requests.emplace(key, request);
    log_event(event::request_handed_over, {{"request", request->spec().id.value()}, {"from", "peer"}});
    asio::co_spawn(m_context, run_request(std::move(request)), asio::detached);
    co_return true;
}

asio::awaitable<std::vector<peer::request_record>> worker::export_records(worker& owner)
{
    auto operation = owner.export_here();
    co_return co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<std::vector<peer::request_record>> worker::export_here()
{
    std::vector<peer::request_record> records;
    for (const auto& [key, request] : m_requests) {
        // Only an accepted request has to survive; the others are refused as not_run and go elsewhere.
        if (request->current_phase() == live_request::phase::accepted)
            records.push_back(to_record(*request, now()));
    }
    co_return records;
}

asio::awaitable<void> worker::release(worker& owner, std::string key)
{
    auto operation = owner.release_here(std::move(key));
    co_await asio::co_spawn(owner.m_context, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> worker::release_here(std::string key)
{
    if (const auto found = m_requests.find(key); found != m_requests.end())
        found->second->hand_over();
    co_return;
}

} // namespace siskinwharf::entry
