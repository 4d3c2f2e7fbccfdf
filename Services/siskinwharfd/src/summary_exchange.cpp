#include "summary_exchange.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "unix_time.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period{500};

} // namespace

summary_exchange::summary_exchange(asio::io_context& context, entry_core& core, request_sender send)
    : m_context(context), m_core(core), m_send(std::move(send)), m_table(core.settings.failure_domain)
{
}

void summary_exchange::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void summary_exchange::update(const std::vector<cloud::instance_record>& records)
{
    m_remotes.clear();
    for (const auto& record : records) {
        const bool is_remote = std::holds_alternative<cloud::serves_entry>(record.serves) &&
                               record.domain != m_core.settings.failure_domain && record.peer_port != 0 &&
                               !record.leaving;
        if (is_remote)
            m_remotes.push_back({record.domain, record.id, {record.address, record.peer_port}});
    }
}

asio::awaitable<void> summary_exchange::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(tick_period);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        m_table.set_own(own_rows(), unix_milliseconds());
        auto due = m_table.tick(now(), m_random, m_remotes);
        if (!due)
            continue;
        const auto answer = co_await m_send(std::move(*due));
        const auto* newer = answer ? std::get_if<peer::summary_reply>(&*answer) : nullptr;
        if (newer != nullptr)
            m_table.receive(now(), *newer);
    }
}

peer::summary_reply summary_exchange::reply(const peer::summary_request& request)
{
    return m_table.receive(now(), request);
}

std::vector<peer::summary_row> summary_exchange::own_rows() const
{
    std::map<std::pair<model_id, std::string>, peer::summary_row> rows;
    const routing::rcu_read_section section;
    for (const auto& [id, entry] : m_core.table.read(section).endpoints) {
        const auto* serves = std::get_if<routing::model_target>(&entry.info->serves);
        const bool counts = serves != nullptr && entry.info->domain == m_core.settings.failure_domain &&
                            entry.info->state == routing::endpoint_state::live;
        if (!counts)
            continue;
        const auto price = static_cast<std::uint32_t>(std::lround(microcents_per_token(*entry.info)));
        auto& row = rows[{serves->model, serves->version}];
        row.model = serves->model;
        row.version = serves->version;
        // Microcents for a token are cents for a million tokens. The cheapest endpoint counts.
        row.price = row.healthy == 0 ? price : std::min(row.price, price);
        ++row.healthy;
        const auto streams = entry.load->streams();
        row.free_slots += entry.info->capacity > streams ? entry.info->capacity - streams : 0;
    }
    std::vector<peer::summary_row> result;
    result.reserve(rows.size());
    for (auto& [key, row] : rows)
        result.push_back(std::move(row));
    return result;
}

} // namespace siskinwharf::entry
