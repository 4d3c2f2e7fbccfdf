#include "claim_commit_service.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "claim_messages.h"
#include "entry_core.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr std::string_view claim_rows = "claim/";

} // namespace

asio::awaitable<peer::claim_commit_reply> claim_commit_service::answer(peer::claim_commit_request request)
{
    std::size_t bytes = 0;
    for (const auto& write : request.writes)
        bytes += write.key.size() + write.value.size();
    if (!accepts(request, bytes))
        co_return peer::claim_commit_reply{};
    const auto limit = now() + std::clamp(request.wait, milliseconds{0}, m_limits.longest_wait);
    const auto writes = request.writes.size();
    const auto work = std::make_shared<job>(m_control, writes);
    m_pending += writes;
    m_pending_bytes += bytes;
    for (std::size_t index = 0; index < writes; ++index)
        asio::co_spawn(m_control, commit_one(work, index, std::move(request.writes[index]), limit),
                       asio::detached);
    while (work->remaining > 0)
        co_await work->done.async_wait(asio::as_tuple(asio::use_awaitable));
    m_pending -= writes;
    m_pending_bytes -= bytes;
    peer::claim_commit_reply reply;
    reply.accepted = true;
    reply.results = std::move(work->results);
    co_return reply;
}

bool claim_commit_service::accepts(const peer::claim_commit_request& request, std::size_t bytes) const
{
    return m_accepting && request.writes.size() <= m_limits.maximum_writes &&
           m_pending + request.writes.size() <= m_limits.maximum_pending &&
           m_pending_bytes + bytes <= m_limits.maximum_pending_bytes &&
           std::ranges::all_of(request.writes,
                               [](const auto& write) { return write.key.starts_with(claim_rows); });
}

asio::awaitable<void> claim_commit_service::commit_one(std::shared_ptr<job> of, std::size_t index,
                                                       peer::claim_write write, monotonic_time limit)
{
    auto wanted = to_table_write(std::move(write));
    const auto result = co_await m_committer.commit_here(std::move(wanted), limit);
    of->results[index] = to_write_result(result);
    if (--of->remaining == 0)
        of->done.cancel();
}

} // namespace siskinwharf::entry
