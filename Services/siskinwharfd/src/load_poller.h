#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/membership/load_changes.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

struct entry_core;

/// What the polls of loads need from the membership.
struct load_ports {
    /// Members among which the endpoints are divided, this process included.
    std::function<std::vector<instance_id>()> working_members;
    /// Sends digests to all working peers.
    std::function<void(const peer::load_report&)> send;
    /// An endpoint of the own failure domain answered a poll or did not.
    std::function<void(const endpoint_id&, bool answered)> on_probe;
};

/// Polls the load of engines and shares it as digests in the failure domain. Confined to one thread.
class load_poller {
public:
    load_poller(boost::asio::io_context& context, entry_core& core, http::client& client, load_ports ports);

    void start();
    /// Takes in digests from a peer.
    void receive(const peer::load_report& report);

private:
    boost::asio::awaitable<void> run();
    /// Without a digest the load stays with this process, and the answer is no sign of life for others.
    boost::asio::awaitable<void> poll(endpoint_id endpoint, std::shared_ptr<peer::load_report> digest);
    void apply(const std::vector<membership::numbered_load>& loads);
    void apply(const endpoint_id& endpoint, const membership::numbered_load& load);
    template<typename Condition>
    [[nodiscard]] std::vector<endpoint_id> engines_where(Condition condition) const;
    [[nodiscard]] std::vector<endpoint_id> own_endpoints() const;
    /// Engines of other failure domains that run streams of this process. Nobody else tells it their load.
    [[nodiscard]] std::vector<endpoint_id> used_remote_endpoints() const;

    boost::asio::io_context& m_context;
    entry_core& m_core;
    http::client& m_client;
    load_ports m_ports;
    membership::load_changes m_changes;
    membership::load_repeats m_repeats;
};

} // namespace siskinwharf::entry
