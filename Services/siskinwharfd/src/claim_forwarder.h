#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "claim_committer.h"
#include "siskinwharf/peer/messages.h"
#include "siskinwharf/peer/transport_options.h"

namespace siskinwharf::entry {

/// The member that commits the claims of the failure domain.
struct claim_peer {
    instance_id member;
    peer::address contact;

    auto operator<=>(const claim_peer&) const = default;
};

/// What the forwarder needs from the peers. Called on the control thread.
struct forwarding_ports {
    /// The member to send writes to; nothing if it is this process or does not answer its probes.
    std::function<std::optional<claim_peer>()> committer;
    /// Sends a request that the member receives at most once.
    std::function<boost::asio::awaitable<peer::request_result>(claim_peer, peer::message, milliseconds)>
        request;
};

/// Limits of what is sent to the committer.
struct forwarding_limits {
    std::size_t maximum_writes = 64; ///< In one message; the committer accepts no more.
    std::size_t maximum_bytes = std::size_t{256} * 1024;
    /// Messages without an answer. Leaves one of the four connections to a peer for other requests.
    std::size_t maximum_in_flight = 3;
    std::size_t maximum_queued = 256; ///< Writes that wait for a message; further ones are committed here.
    /// Time that the committer has for its answer. It covers its queue and one lost answer of the table, 1 s.
    milliseconds answer_wait{1'500};
    /// Above the answer wait by the time that both ways take on a busy machine.
    milliseconds request_timeout{2'000};
    /// How long a member is not asked again after it failed; by then it is suspected, or works again.
    milliseconds avoidance{5'000};
    /// A member whose table answers none of its writes for this long is avoided, because it may be cut off
    /// from a table that this process reaches. Shorter, a throttled table would be met with single writes.
    milliseconds longest_failure{1'000};
};

/// Sends the claim writes of this process to the committer of its failure domain. A write that the committer
/// may have received ends with the committer's result or as `table_uncertain`, never with nothing, because a
/// second copy of it could then take effect late. Confined to the control thread.
class claim_forwarder final : public claim_route {
public:
    claim_forwarder(boost::asio::io_context& control, forwarding_ports ports, forwarding_limits limits = {});

    boost::asio::awaitable<std::optional<cloud::commit_result>> commit(cloud::table_write write,
                                                                       monotonic_time limit) override;

private:
    struct waiting_write {
        waiting_write(boost::asio::io_context& context, cloud::table_write wanted, monotonic_time limit)
            : write(std::move(wanted)), wake(context, limit)
        {
        }

        void end(std::optional<cloud::commit_result> with);

        cloud::table_write write;
        boost::asio::steady_timer wake;
        bool sent = false;
        bool ended = false;
        std::optional<cloud::commit_result> result; ///< Nothing: it was not sent.
    };
    using group = std::vector<std::shared_ptr<waiting_write>>;

    [[nodiscard]] std::optional<claim_peer> usable_committer() const;
    void send_groups();
    [[nodiscard]] group take_group();
    boost::asio::awaitable<void> exchange(claim_peer committer, group writes);
    void avoid(const claim_peer& committer, std::string_view reason);
    void finish(const claim_peer& committer, const group& writes, const peer::request_result& result);
    void finish(const claim_peer& committer, const group& writes, const peer::claim_commit_reply& reply);
    /// Whether the table has answered none of the member's writes for too long.
    [[nodiscard]] bool is_cut_off(const claim_peer& committer, const peer::claim_commit_reply& reply);

    boost::asio::io_context& m_control;
    forwarding_ports m_ports;
    forwarding_limits m_limits;
    std::deque<std::shared_ptr<waiting_write>> m_queue;
    std::size_t m_in_flight = 0;
    instance_id m_avoided;
    monotonic_time m_avoided_until;
    instance_id m_failing; ///< Member whose last reply had no answer of the table, and since when.
    monotonic_time m_failing_since;
};

} // namespace siskinwharf::entry
