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
#include "claim_forwarder.h"
#include "claim_holders.h"
#include "entry_core.h"
#include "isolation_exchange.h"
#include "load_poller.h"
#include "quarantine_exchange.h"
#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/membership/member_table.h"
#include "siskinwharf/peer/peer_transport.h"

namespace siskinwharf::entry {

/// What the peer node needs from the rest of the process. Called on the control thread.
struct peer_callbacks {
    std::function<void(const std::vector<peer::endpoint_notice>&)> on_notices;
    std::function<void(const endpoint_id&, bool answered)> on_probe;
    std::function<void(const peer::rollout_state&)> on_rollout;
    std::function<std::vector<peer::endpoint_notice>()> departed;
    /// A peer announced a newer sheet and did not deliver it. Called once for each version.
    std::function<void()> on_sheet_missed;
    std::function<void(const instance_id& sender, const peer::address& from, peer::instance_changes)>
        on_instance_changes;
    std::function<peer::instance_changes(const peer::instance_list_request&)> instance_list;
    std::function<peer::summary_reply(const peer::summary_request&)> summaries;
    std::function<boost::asio::awaitable<peer::locate_state>(request_id)> locate;
    std::function<boost::asio::awaitable<bool>(peer::request_record)> adopt;
    std::function<boost::asio::awaitable<peer::claim_commit_reply>(peer::claim_commit_request)> commit_claims;
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

    void apply_instances(const std::vector<cloud::instance_record>& records);
    /// Tells all members about endpoints at once.
    void announce(const std::vector<peer::endpoint_notice>& notices);
    void relay(const std::vector<peer::endpoint_notice>& notices);
    /// Tells all members what this process has read back as the lease holder.
    void send(const peer::rollout_state& state);

    /// Tells all working members what changed in the instance list.
    void share(const peer::instance_changes& changes);
    /// Asks a member for what changed in the instance list; a random one if none is given.
    boost::asio::awaitable<std::optional<peer::instance_changes>>
    fetch_instances(std::optional<membership::member_info> from, peer::instance_list_request wanted);

    /// Joins through the next of the seeds of the settings, unless a member is known already.
    boost::asio::awaitable<void> join_seed();
    /// Sends a request to any entry process and returns its reply.
    boost::asio::awaitable<std::optional<peer::message>> ask(membership::outgoing_message message);

    /// The member that holds a request, if any of them does.
    boost::asio::awaitable<std::optional<instance_id>> locate(request_id request);
    /// Hands a request to one member after another until one accepts it.
    boost::asio::awaitable<bool> hand_over(peer::request_record record);
    /// The member that commits the claims of the failure domain, by rendezvous hash; nothing if it is this
    /// process or is suspected.
    [[nodiscard]] std::optional<claim_peer> claim_committer_of_domain() const;
    /// Sends a request that the peer receives at most once.
    boost::asio::awaitable<peer::request_result> request_once(instance_id member, peer::address contact,
                                                              peer::message body, milliseconds timeout);
    /// Asks the holder of a claim, in any failure domain, about its attempt.
    boost::asio::awaitable<claims::holder_reply>
    query_claim(std::string holder, claims::claim_identity identity, claims::attempt_number attempt);
    [[nodiscard]] std::vector<membership::member_info> members() const { return m_members.members(); }
    [[nodiscard]] std::vector<instance_id> working_members() const { return m_members.working_members(); }
    [[nodiscard]] peer::transport_counters counters() const;

    void receive(peer::frame datagram, peer::address from) override;
    boost::asio::awaitable<std::optional<peer::message>> reply(peer::frame request) override;

private:
    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> run_remote_sheet_polls();
    boost::asio::awaitable<void> fetch_sheet(membership::member_table::known_sheet known);
    boost::asio::awaitable<void> ask_for_sheet(membership::member_table::known_sheet known);
    boost::asio::awaitable<void> exchange(membership::outgoing_message message);
    void carry_out(membership::member_output output);
    /// Sends a datagram to all working peers.
    void broadcast(const peer::message& body);
    /// Sends a request and returns its reply, or nothing if there is none in time.
    boost::asio::awaitable<std::optional<peer::message>> call(instance_id recipient, peer::address contact,
                                                              peer::message body, milliseconds timeout);
    /// As `call`, for a reply of one type.
    template<typename Reply>
    boost::asio::awaitable<std::optional<Reply>> call_for(instance_id recipient, peer::address contact,
                                                          peer::message body, milliseconds timeout);
    void note_missed_sheet(std::uint64_t version);
    [[nodiscard]] load_ports make_load_ports();
    [[nodiscard]] peer_ports make_peer_ports();
    [[nodiscard]] std::vector<membership::member_info> working_peers() const;

    boost::asio::io_context& m_control;
    entry_core& m_core;
    claim_committer& m_committer;
    peer_callbacks m_callbacks;
    std::mt19937_64 m_random{std::random_device{}()};
    membership::member_table m_members;
    load_poller m_loads;
    std::unique_ptr<peer::peer_transport> m_transport;
    claim_holders m_holders;
    quarantine_exchange m_quarantine;
    isolation_exchange m_isolation;
    bool m_fetching_sheet = false;
    std::uint64_t m_missed_sheet = 0;
    std::size_t m_next_seed = 0;
    /// Entry processes of other failure domains, from the last instance list.
    std::vector<std::pair<instance_id, peer::address>> m_remote_entries;
};

} // namespace siskinwharf::entry
