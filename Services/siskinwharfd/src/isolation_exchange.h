#pragma once

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "peer_round.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// Makes the isolation of suspects hold in the whole failure domain: asks the other entry processes to keep
/// an endpoint clear, and answers them. Confined to the control thread.
class isolation_exchange {
public:
    isolation_exchange(boost::asio::io_context& control, entry_core& core, peer_ports ports);
    isolation_exchange(const isolation_exchange&) = delete;
    isolation_exchange& operator=(const isolation_exchange&) = delete;
    isolation_exchange(isolation_exchange&&) = delete;
    isolation_exchange& operator=(isolation_exchange&&) = delete;
    /// The requests must no longer run.
    ~isolation_exchange();

    /// Connects the isolation of this process to its peers.
    void start();
    /// Whether all peers that answer keep the endpoint clear, and none of their requests runs there any more.
    /// May be awaited from any thread. The holds stay until the suspect leaves the endpoint, also after a
    /// refusal.
    boost::asio::awaitable<bool> claim(endpoint_id endpoint, admission::content_key suspect,
                                       monotonic_time give_up_at);
    [[nodiscard]] peer::isolation_reply reply(const instance_id& sender,
                                              const peer::isolation_request& request);

private:
    struct answers;
    struct question {
        std::shared_ptr<peer_round> round;
        std::shared_ptr<isolation_exchange::answers> collected;
    };

    boost::asio::awaitable<bool> claim_here(endpoint_id endpoint, admission::content_key suspect,
                                            monotonic_time give_up_at);
    question ask(const std::vector<membership::member_info>& peers, const peer::isolation_request& request);
    void release(const endpoint_id& endpoint, const admission::content_key& suspect);

    boost::asio::io_context& m_control;
    entry_core& m_core;
    peer_ports m_ports;
};

} // namespace siskinwharf::entry
