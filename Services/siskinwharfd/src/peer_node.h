#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "claim_committer.h"
#include "entry_core.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/membership/member_table.h"
#include "siskinwharf/peer/peer_transport.h"
#include "siskinwharf/platform/instance_list.h"

namespace siskinwharf::entry {

/// What the peer node needs from the rest of the process. Called on the control thread.
struct peer_callbacks {
    std::function<void(const std::vector<peer::endpoint_notice>&)> on_notices;
    std::function<void(const endpoint_id&, bool answered)> on_probe;
    std::function<std::vector<peer::endpoint_notice>()> departed;
    std::function<boost::asio::awaitable<peer::locate_state>(request_id)> locate;
    std::function<boost::asio::awaitable<bool>(peer::request_record)> adopt;
};

/// This process among the entry processes of its failure domain: membership, notices about endpoints, sheets
/// from peers, load reports, and the requests that peers send. Confined to the control thread.
class peer_node final : public peer::transport_handler, public std::enable_shared_from_this<peer_node> {
public:
    peer_node(boost::asio::io_context& control, entry_core& core, http::client& client,
              claim_committer& committer, peer_callbacks callbacks);

    /// Opens the sockets and joins. Throws `boost::system::system_error`.
    void start();
    /// Tells the peers that this process leaves, and closes the sockets.
    void stop();

    void apply_instances(const std::vector<platform::instance_record>& records);
    /// Tells all members about endpoints at once.
    void announce(const std::vector<peer::endpoint_notice>& notices);
    void relay(const std::vector<peer::endpoint_notice>& notices);

    /// The member that holds a request, if any of them does.
    boost::asio::awaitable<std::optional<instance_id>> locate(request_id request);
    /// Hands a request to one member after another until one accepts it.
    boost::asio::awaitable<bool> hand_over(peer::request_record record);
    /// Asks the holder of a claim about its attempt.
    boost::asio::awaitable<claims::holder_reply>
    query_claim(std::string holder, claims::claim_identity identity, claims::attempt_number attempt);
    [[nodiscard]] std::vector<membership::member_info> members() const { return m_members.members(); }
    [[nodiscard]] peer::transport_counters counters() const;

    void receive(peer::frame datagram, peer::address from) override;
    boost::asio::awaitable<std::optional<peer::message>> reply(peer::frame request) override;

private:
    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> run_load_polls();
    boost::asio::awaitable<void> poll_load(endpoint_id endpoint, std::shared_ptr<peer::load_report> digest);
    boost::asio::awaitable<void> run_remote_sheet_polls();
    boost::asio::awaitable<void> fetch_sheet(membership::member_table::known_sheet known);
    boost::asio::awaitable<void> ask_for_sheet(membership::member_table::known_sheet known);
    boost::asio::awaitable<void> exchange(membership::outgoing_message message);
    void carry_out(membership::member_output output);
    void apply_loads(const peer::load_report& report);
    void apply_load(const endpoint_id& endpoint, const peer::load_digest& load);
    [[nodiscard]] std::vector<membership::member_info> working_peers() const;
    [[nodiscard]] std::vector<endpoint_id> own_endpoints() const;

    boost::asio::io_context& m_control;
    entry_core& m_core;
    http::client& m_client;
    claim_committer& m_committer;
    peer_callbacks m_callbacks;
    std::mt19937_64 m_random{std::random_device{}()};
    membership::member_table m_members;
    std::unique_ptr<peer::peer_transport> m_transport;
    bool m_fetching_sheet = false;
    /// Entry processes of other failure domains, from the last instance list.
    std::vector<std::pair<instance_id, peer::address>> m_remote_entries;
};

} // namespace siskinwharf::entry
