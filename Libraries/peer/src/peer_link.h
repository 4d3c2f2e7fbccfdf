#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "connection.h"
#include "siskinwharf/peer/transport_options.h"
#include "transport_state.h"

namespace siskinwharf::peer {

/// Outgoing TCP connections to one peer. All functions run on its strand.
class peer_link {
public:
    peer_link(boost::asio::any_io_executor strand, std::shared_ptr<transport_state> state, instance_id peer,
              address contact);

    [[nodiscard]] const boost::asio::any_io_executor& strand() const { return m_strand; }

    /// Sends a request and waits for its reply.
    [[nodiscard]] boost::asio::awaitable<request_result> exchange(message body, monotonic_time deadline,
                                                                  delivery_count sending);

    /// Closes connections that have been idle for longer than the timeout.
    void close_idle(monotonic_time time);

    /// Closes all connections and ends the requests that wait.
    void stop();

private:
    struct idle_connection {
        std::shared_ptr<connection> link;
        monotonic_time since;
    };

    [[nodiscard]] boost::asio::awaitable<bool> wait_for_slot(monotonic_time deadline);
    void release_slot();
    [[nodiscard]] boost::asio::awaitable<std::shared_ptr<connection>> connect(monotonic_time deadline);
    [[nodiscard]] boost::asio::awaitable<request_result>
    exchange_on(std::shared_ptr<connection> link, const message& body, monotonic_time deadline);
    [[nodiscard]] boost::asio::awaitable<request_result>
    exchange_in_slot(const message& body, monotonic_time deadline, delivery_count sending);
    void back_off(monotonic_time time);

    boost::asio::any_io_executor m_strand;
    std::shared_ptr<transport_state> m_state;
    instance_id m_peer;
    address m_contact;
    std::minstd_rand m_random;
    std::vector<idle_connection> m_idle;
    std::list<std::shared_ptr<connection>> m_active;
    std::list<boost::asio::steady_timer*> m_waiting; ///< In order of arrival.
    std::size_t m_slots_in_use = 0;
    std::uint32_t m_failures = 0; ///< Failed connections since the last successful one.
    monotonic_time m_retry_at;
};

} // namespace siskinwharf::peer
