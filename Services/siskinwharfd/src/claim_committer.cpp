#include "claim_committer.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry_core.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds idle_period{1'000};
constexpr milliseconds cleanup_period{100};
constexpr std::size_t cleanup_writes_at_once = 64;

} // namespace

claim_committer::claim_committer(asio::io_context& control, cloud::table_store& table)
    : m_control(control), m_table(table), m_wake(control)
{
}

void claim_committer::start()
{
    asio::co_spawn(m_control, commit_groups(), asio::detached);
    asio::co_spawn(m_control, clean_up(), asio::detached);
}

// The operations are named objects: g++ 12 destroys temporaries of a co_await expression twice in some cases.

asio::awaitable<cloud::commit_result> claim_committer::commit(cloud::table_write write, monotonic_time limit)
{
    auto operation = route(std::move(write), limit);
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<cloud::commit_result> claim_committer::route(cloud::table_write write, monotonic_time limit)
{
    if (m_route != nullptr) {
        auto routed = co_await m_route->commit(write, limit);
        if (routed)
            co_return std::move(*routed);
    }
    co_return co_await commit_here(std::move(write), limit);
}

asio::awaitable<cloud::commit_result> claim_committer::commit_here(cloud::table_write write,
                                                                   monotonic_time limit)
{
    const auto ticket = m_batcher.submit(std::move(write), now());
    if (!ticket)
        co_return cloud::table_unavailable{};
    const auto waiting = std::make_shared<waiting_write>(m_control, limit);
    m_waiting.emplace(*ticket, waiting);
    m_wake.cancel();
    while (!waiting->result && now() < limit)
        co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiting->result)
        co_return *waiting->result;
    m_waiting.erase(*ticket);
    if (m_batcher.withdraw(*ticket))
        co_return cloud::table_unavailable{};
    co_return cloud::table_uncertain{};
}

asio::awaitable<cloud::read_result> claim_committer::read(std::string key)
{
    auto operation = m_table.read(std::move(key));
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> claim_committer::commit_groups()
{
    while (true) {
        while (auto group = m_batcher.next_batch(now()))
            asio::co_spawn(m_control, send_group(std::move(*group)), asio::detached);
        m_wake.expires_at(m_batcher.next_due().value_or(now() + idle_period));
        co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> claim_committer::send_group(claims::write_batch group)
{
    const auto result = co_await m_table.commit(std::move(group.transaction));
    for (auto& [ticket, outcome] : m_batcher.on_result(group.number, result)) {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end())
            continue;
        found->second->result = std::move(outcome);
        found->second->wake.cancel();
        m_waiting.erase(found);
    }
    m_wake.cancel();
}

asio::awaitable<void> claim_committer::clean_up()
{
    asio::steady_timer timer(m_control);
    while (true) {
        for (auto& write : m_cleanup.due(now(), cleanup_writes_at_once))
            asio::co_spawn(m_control, write_final_row(std::move(write)), asio::detached);
        timer.expires_after(cleanup_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> claim_committer::write_final_row(claims::cleanup_write write)
{
    const auto attempt = write.attempt;
    const auto result = co_await commit_here(std::move(write.write), monotonic_time::max());
    m_cleanup.on_result(attempt, result, now());
}

asio::awaitable<void> claim_committer::begin(claims::attempt_number attempt)
{
    auto operation = begin_here(attempt);
    co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> claim_committer::begin_here(claims::attempt_number attempt)
{
    m_running.emplace(attempt, claims::holder_running{});
    co_return;
}

asio::awaitable<void> claim_committer::update(claims::attempt_number attempt, claims::holder_reply reply)
{
    auto operation = update_here(attempt, std::move(reply));
    co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> claim_committer::update_here(claims::attempt_number attempt, claims::holder_reply reply)
{
    m_running.insert_or_assign(attempt, std::move(reply));
    co_return;
}

asio::awaitable<void> claim_committer::end(claims::attempt_number attempt, claims::holder_reply reply,
                                           std::optional<claims::pending_final_write> open)
{
    auto operation = end_here(attempt, std::move(reply), std::move(open));
    co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<void> claim_committer::end_here(claims::attempt_number attempt, claims::holder_reply reply,
                                                std::optional<claims::pending_final_write> open)
{
    m_running.erase(attempt);
    m_ended.add(attempt, std::move(reply), now());
    if (open)
        m_cleanup.add(std::move(*open), now());
    co_return;
}

asio::awaitable<claims::holder_reply> claim_committer::status(claims::attempt_number attempt)
{
    auto operation = status_here(attempt);
    co_return co_await asio::co_spawn(m_control, std::move(operation), asio::use_awaitable);
}

asio::awaitable<claims::holder_reply> claim_committer::status_here(claims::attempt_number attempt)
{
    if (const auto running = m_running.find(attempt); running != m_running.end())
        co_return running->second;
    if (const auto open = m_cleanup.reply_to_peer(attempt))
        co_return *open;
    co_return m_ended.find(attempt, now()).value_or(claims::holder_unknown{});
}

} // namespace siskinwharf::entry
