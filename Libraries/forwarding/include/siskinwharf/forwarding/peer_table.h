#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/dispatch/helper_choice.h"
#include "siskinwharf/dispatch/store_readers.h"
#include "siskinwharf/exchange/process_state.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/peer_view.h"
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/forwarding/registration_table.h"
#include "siskinwharf/forwarding/update_offer.h"

namespace siskinwharf::forwarding {

/// What this process knows of its peers, from the store and from their messages. Performs no I/O.
///
/// In a small deployment every process tells every other its state. In a larger one each failure domain has
/// two relays, picked by a hash without agreement: the processes tell their state to the relays of their
/// failure domain, these send the sums to the relays of the others, and each relay tells its processes the
/// sums over the deployment. If two processes disagree about the relays for a moment, there are more of them,
/// which does no harm.
class peer_table {
public:
    enum class condition { alive, suspected, dead };

    struct peer {
        settings::socket_address address;
        std::optional<exchange::process_state> state;
        monotonic_time last_heard{};                     ///< When `state` arrived.
        monotonic_time last_contact{};                   ///< When the newest message of any kind arrived.
        monotonic_time listed{};                         ///< When the store first listed the peer.
        failure_domain_id listed_domain;                 ///< As the store says.
        bool is_registered = false;                      ///< As of the last read of the registrations.
        bool was_registered = false;                     ///< In any read of the registrations.
        std::optional<exchange::process_state> previous; ///< Last state before the peer restarted.
        monotonic_time previous_heard{};
        bool is_reading = false;
        monotonic_time store_answered{}; ///< When the store last answered the peer. Valid if `is_reading`.
        bool has_relayed = false;        ///< The peer has acted as a relay of this failure domain.
    };

    explicit peer_table(const process_settings& settings) : m_settings(settings) {}

    /// Takes the registrations that were read from the store. Returns the peers that were not known before.
    std::vector<registered_process> set_registrations(const std::vector<process_registration>& read,
                                                      monotonic_time now);
    /// The earliest time at which the registration of a peer that is not heard expires.
    [[nodiscard]] std::optional<monotonic_time> next_expiry(monotonic_time now) const;
    /// Registrations that had expired at this time.
    [[nodiscard]] std::vector<process_registration> expired_registrations(monotonic_time before) const
    {
        return m_registrations.expired(before);
    }
    /// Stores a state. Returns the peer's state before, without loads if there was none, or nothing if the
    /// message is older than the stored one.
    std::optional<std::vector<dispatch::endpoint_load>> take(exchange::process_state state,
                                                             const std::string& ip, monotonic_time now);
    /// Stores an update. Returns the peer if it is known by a state of the same start, otherwise null.
    peer* take(const exchange::near_update& update, monotonic_time now);
    void take(const exchange::domain_report& report, const std::string& ip, monotonic_time now);
    void take(const exchange::deployment_report& report, monotonic_time now);
    /// Replaces the use of some accounts in the last report of a relay. Ignored without one.
    void take(const exchange::use_update& update, monotonic_time now);
    /// Whether the counts of this message are to be added: those of a process of another failure domain
    /// arrive as part of a sum if there are relays.
    [[nodiscard]] bool accepts(const exchange::usage_update& update) const;
    /// Removes the peers that are dead, and returns their ids.
    std::vector<instance_id> remove_dead(monotonic_time now);

    /// Sets the fencing number of the lease of the duties; 0 if this process does not hold it.
    void set_lease_number(std::uint64_t fencing) { m_lease_number = fencing; }

    [[nodiscard]] const std::map<instance_id, peer>& peers() const { return m_peers; }
    [[nodiscard]] condition condition_of(const peer& entry, monotonic_time now) const;
    /// Interval between state messages to a peer of the same region.
    [[nodiscard]] milliseconds interval() const;
    /// Whether the peer is in the region of this process.
    [[nodiscard]] bool is_near(const peer& entry) const;

    /// Whether the deployment is so large that it has relays.
    [[nodiscard]] bool uses_relays() const;
    /// Whether this process is a relay of its failure domain.
    [[nodiscard]] bool is_relay(monotonic_time now) const;
    /// Addresses of the other relays of this failure domain.
    [[nodiscard]] std::vector<settings::socket_address> relays(monotonic_time now) const;
    /// Addresses of the relays of the other failure domains.
    [[nodiscard]] std::vector<settings::socket_address> relays_of_other_domains(monotonic_time now) const;
    /// The peers of this failure domain that have told their state.
    [[nodiscard]] std::vector<const peer*> domain_peers() const;

    /// Addresses of the peers at which a caller may take up a stream of this process: all, or with relays
    /// those of this failure domain, where callers come back.
    [[nodiscard]] std::vector<settings::socket_address> stream_listeners() const;
    /// Addresses of the peers that keep copies of the origins of this process's streams: one in its failure
    /// domain and one in another, which a fault of a whole domain does not reach.
    [[nodiscard]] std::vector<settings::socket_address> stream_keepers(monotonic_time now) const;
    /// Addresses of the peers that may know which version began a stream of another process: those that it
    /// has told, and with relays those of the other failure domains, for a caller that comes from there.
    [[nodiscard]] std::vector<settings::socket_address> stream_sources(monotonic_time now) const;

    [[nodiscard]] deployment_view view(monotonic_time now) const;
    /// Processes of the store's readers in this failure domain.
    [[nodiscard]] std::vector<dispatch::store_reader_candidate> reader_candidates(monotonic_time now) const;
    /// When a process was last seen to hold the lease, this process excluded.
    [[nodiscard]] exchange::lease_sighting lease_sighting(monotonic_time now) const;
    /// Whether a peer was seen recently to hold the lease.
    [[nodiscard]] bool has_live_lease_holder(monotonic_time now) const;
    /// Returns the peers that were heard lately and have a newer `item` than `own`. Their ranks differ
    /// between processes, so that those that miss the same version ask different peers for it.
    [[nodiscard]] std::vector<update_offer> offers(shared_item item, const known_versions& own,
                                                   monotonic_time now) const;
    /// Returns the peers that were heard lately and do not stop.
    [[nodiscard]] std::vector<dispatch::helper> helpers(monotonic_time now) const;
    /// Returns since when an era of the store is known: the earliest time that a peer tells, or `own`.
    [[nodiscard]] monotonic_time era_known_since(std::uint64_t era, monotonic_time own) const;
    /// Returns the demand for a service at the peers of each failure domain. At a relay, or without relays,
    /// it covers all failure domains.
    [[nodiscard]] std::map<failure_domain_id, exchange::service_demand> demand_of(const service_id& service,
                                                                                  monotonic_time now) const;
    /// Returns the time until which this process has received the usage counts of the peers of its failure
    /// domain, or of all peers without relays.
    [[nodiscard]] monotonic_time domain_counts_complete_until(monotonic_time now) const;
    /// Returns the time until which this process has received the usage counts of all peers.
    [[nodiscard]] monotonic_time counts_complete_until(monotonic_time now) const;

private:
    struct received_domain_report {
        exchange::domain_report report;
        settings::socket_address address;
        monotonic_time heard{};
    };
    struct received_deployment_report {
        exchange::deployment_report report;
        monotonic_time heard{};
    };

    [[nodiscard]] bool is_in_domain(const peer& entry) const;
    /// The failure domain that the peer has told, or that the store lists.
    [[nodiscard]] static const failure_domain_id& domain_of(const peer& entry);
    /// Whether the peer said that it stops, and has been silent since.
    [[nodiscard]] static bool has_left(const peer& entry, monotonic_time now);
    [[nodiscard]] bool is_relay_candidate(const peer& entry, monotonic_time now) const;
    /// Whether a peer of this failure domain is known that has not left.
    [[nodiscard]] bool has_staying_peer(const failure_domain_id& domain, monotonic_time now) const;
    /// The newest report on each other failure domain.
    [[nodiscard]] std::map<failure_domain_id, const received_domain_report*> newest_reports() const;
    /// The newest report of a relay of this failure domain, or null.
    [[nodiscard]] const received_deployment_report* newest_deployment_report() const;

    const process_settings m_settings;
    std::map<instance_id, peer> m_peers;
    registration_table m_registrations;
    std::map<instance_id, received_domain_report> m_domain_reports;         ///< By relay.
    std::map<instance_id, received_deployment_report> m_deployment_reports; ///< By relay.
    std::uint64_t m_lease_number = 0;
};

} // namespace siskinwharf::forwarding
