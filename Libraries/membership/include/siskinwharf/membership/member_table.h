#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/membership/member_options.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

class gossip_queue;

/// The entry processes of one failure domain as one of them sees them. Follows SWIM: each process probes one
/// member a period in shuffled order, asks others to probe a member that does not answer, and suspects it
/// before it declares it dead. What is known about a member is ordered by its incarnation, which only the
/// member itself raises, then by state. The instance list adds members and marks them leaving; it never
/// removes one. Not safe for concurrent use.
class member_table {
public:
    /// `incarnation` is the start time of the process in milliseconds since the epoch.
    member_table(const member_options& options, instance_id self, peer::address contact,
                 std::uint64_t incarnation);
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    member_table(member_table&&) noexcept;
    member_table& operator=(member_table&&) noexcept;
    ~member_table();

    /// Does what is due. To be called every `member_tick_period`.
    [[nodiscard]] member_output tick(monotonic_time now, std::mt19937_64& random);

    /// Handles an authenticated message. Ignores all but `ping`, `ack`, `ping_request`, `member_join`,
    /// `member_sync` and `endpoint_notices`. The caller completes the reply to a `member_join` with the
    /// departed endpoints.
    [[nodiscard]] member_output receive(monotonic_time now, std::mt19937_64& random,
                                        const instance_id& sender, const peer::address& from,
                                        const peer::message& body);

    /// Takes the entry processes of this failure domain from the instance list, which may be stale.
    [[nodiscard]] member_output apply_instance_list(monotonic_time now,
                                                    const std::vector<listed_instance>& instances);

    /// Tells all members that this process leaves. It sends no probes from then on.
    [[nodiscard]] member_output leave(monotonic_time now);

    /// Sends notices that originate here to all members directly and repeats them until these confirm them.
    [[nodiscard]] member_output announce(monotonic_time now,
                                         const std::vector<peer::endpoint_notice>& notices);

    /// Passes notices from peers on with the next probes.
    void relay(const std::vector<peer::endpoint_notice>& notices);

    /// Sets the version of the sheet in force here; a lower one is ignored.
    void set_sheet_version(std::uint64_t version);

    /// A sheet that a peer has.
    struct known_sheet {
        std::uint64_t version = 0;
        instance_id holder;
        peer::address contact;
    };

    /// The newest sheet of which a peer told, if it is newer than the one in force here.
    [[nodiscard]] std::optional<known_sheet> newer_sheet() const;

    /// Forgets the newest sheet if it has this version: its holder could not provide it. The next peer that
    /// tells of a newer sheet becomes its holder.
    void forget_newer_sheet(std::uint64_t version);

    /// All members but this one, in any state; none that is only known from the instance list.
    [[nodiscard]] std::vector<member_info> members() const;

    /// This process and all members that are alive or suspected and not leaving, in order. They share work.
    [[nodiscard]] std::vector<instance_id> working_members() const;

    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }

private:
    struct record {
        peer::address contact;
        peer::member_state state = peer::member_state::alive;
        std::uint64_t incarnation = 0; ///< 0 until the member or a peer has told it.
        bool listed = false;
        bool leaving = false;
        monotonic_time state_since;
        monotonic_time next_contact; ///< Next extra ping while suspected or not heard of.

        [[nodiscard]] bool known() const { return incarnation != 0; }
        [[nodiscard]] bool working() const
        {
            return known() && (state == peer::member_state::alive || state == peer::member_state::suspected);
        }
    };

    struct probe {
        std::uint64_t number = 0;
        instance_id target;
        monotonic_time indirect_at;
        bool indirect_sent = false;
        monotonic_time ends_at;
    };

    // A probe on behalf of another process.
    struct relayed_probe {
        instance_id requester;
        peer::address contact;
        std::uint64_t number = 0;
        monotonic_time expires_at;
    };

    // One datagram of notices that goes to each member until the member confirms it.
    struct announcement {
        peer::endpoint_notices notices;
        std::set<instance_id> unconfirmed;
        std::uint32_t remaining = 0;
        monotonic_time next_at;
    };

    void skip_frozen_time(monotonic_time now);
    void advance_probe(monotonic_time now, std::mt19937_64& random, member_output& output);
    void start_probe(monotonic_time now, std::mt19937_64& random, member_output& output);
    void send_indirect_probes(std::mt19937_64& random, member_output& output);
    void expire_suspicions(monotonic_time now, member_output& output);
    void contact_silent_members(monotonic_time now, std::mt19937_64& random, member_output& output);
    void synchronize(monotonic_time now, std::mt19937_64& random, member_output& output);
    void repeat_announcements(monotonic_time now, member_output& output);
    void forget_departed(monotonic_time now);

    void apply_gossip(monotonic_time now, const instance_id& sender, const peer::address& from,
                      const peer::gossip& news, member_output& output);
    void apply_update(monotonic_time now, const peer::member_update& update, member_output& output);
    void refute(const peer::member_update& update);
    void handle(monotonic_time now, const instance_id& sender, const peer::address& from,
                const peer::ack& body, member_output& output);
    void handle(monotonic_time now, const instance_id& sender, const peer::address& from,
                const peer::ping_request& body, member_output& output);

    void send_ping(const instance_id& recipient, std::uint64_t number, member_output& output);
    [[nodiscard]] std::vector<announcement>
    announcements_of(const std::vector<peer::endpoint_notice>& notices);
    void send_unconfirmed(announcement& item, monotonic_time now, member_output& output) const;
    [[nodiscard]] peer::gossip news_for(const instance_id& recipient);
    [[nodiscard]] peer::gossip full_state() const;
    [[nodiscard]] peer::member_update own_update() const;
    [[nodiscard]] std::uint32_t transmissions() const;
    [[nodiscard]] std::size_t working_count() const;

    member_options m_options;
    instance_id m_self;
    peer::address m_contact;
    std::uint64_t m_incarnation;
    bool m_left = false;
    bool m_self_leaving = false;
    bool m_synchronized = false;
    std::map<instance_id, record> m_members;
    std::vector<instance_id> m_probe_order; ///< Targets of this round that are still to be probed.
    std::optional<probe> m_probe;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    std::vector<announcement> m_announcements;
    std::unique_ptr<gossip_queue> m_news;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_sheet_version = 0;
    known_sheet m_newest_sheet;
    std::optional<monotonic_time> m_last_tick;
    monotonic_time m_next_probe;
    monotonic_time m_next_reconnect;
    monotonic_time m_next_synchronization;
};

} // namespace siskinwharf::membership
