#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/dispatch/store_readers.h"
#include "siskinwharf/exchange/process_state.h"
#include "siskinwharf/exchange/round_schedule.h"
#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/helper_source.h"
#include "siskinwharf/forwarding/peer_table.h"
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// Sends the state of this process to all known peers periodically over UDP, and stores the state received
/// from them. Peers are discovered through the store, the configured seeds and their own messages.
class peer_exchange final : public helper_source {
public:
    peer_exchange(boost::asio::io_context& context, const process_settings& settings, traffic_state& state,
                  std::uint64_t start);

    void start();
    /// Takes the registrations that were read from the store.
    void set_registrations(const std::vector<process_registration>& read);
    /// The earliest time at which the registration of a peer that is not heard expires.
    [[nodiscard]] std::optional<monotonic_time> next_expiry() const;
    /// Registrations that had expired at this time.
    [[nodiscard]] std::vector<process_registration> expired_registrations(monotonic_time before) const
    {
        return m_table.expired_registrations(before);
    }
    [[nodiscard]] bool holds_lease() const { return m_lease_number != 0; }
    /// Sets the fencing number that is sent to peers. 0 if this process does not hold the lease.
    void set_lease_number(std::uint64_t fencing);
    /// Sets the versions that are sent to peers.
    void set_versions(const known_versions& versions);
    [[nodiscard]] const known_versions& versions() const { return m_versions; }
    /// Since when the present era of the store is known to this process or a peer. Before that, the store may
    /// have lost what was written.
    [[nodiscard]] monotonic_time era_known_since() const;
    /// Sets whether this process reads the store, and the older of the times at which the
    /// store last answered its two polls.
    void set_store_reading(bool is_reading, monotonic_time answered);
    /// Sends the new versions to the peers of the region without waiting for the next round.
    void announce_versions() { schedule_update(); }
    /// Registers a callback that runs when a peer of the region announces newer versions.
    void on_newer_versions(std::function<void()> listener) { m_on_newer_versions = std::move(listener); }
    /// Whether this process must read the store itself.
    [[nodiscard]] bool is_store_reader() const;
    /// Whether the failure domain is large enough that only some of its processes read the store.
    [[nodiscard]] bool shares_store() const;
    void set_leaving() { m_is_leaving = true; }

    /// Whether a peer that sent a message recently reports that it holds the lease.
    [[nodiscard]] bool has_live_lease_holder() const;
    /// Whether the deployment has relays and this process is none. It learns from them what other failure
    /// domains say, and leaves to them what needs only a few processes.
    [[nodiscard]] bool relies_on_relays() const;
    [[nodiscard]] std::vector<dispatch::helper> helpers() const override;
    /// Returns the peers that have a newer version of an item than this process.
    [[nodiscard]] std::vector<update_offer> offers(shared_item item) const;
    /// Returns the demand for a service in each failure domain, summed over this process and all live peers.
    [[nodiscard]] std::map<failure_domain_id, exchange::service_demand>
    demand_of(const service_id& service) const;
    /// Returns the time until which this process has received the usage counts of all peers.
    [[nodiscard]] monotonic_time counts_complete_until(monotonic_time now) const;
    /// Asks the peers that may know it for the version that began a stream, named by its number. Their
    /// answers go to the state.
    void ask_origin(std::uint64_t stream);
    /// Sends the state of this process to all peers immediately. Used at shutdown.
    void broadcast_state();

private:
    /// What a state message contains.
    enum class detail {
        presence, ///< Versions, clock and crash records.
        state,    ///< Also the loads and the use of quotas.
        state_and_usage,
    };

    boost::asio::awaitable<void> send_loop();
    boost::asio::awaitable<void> relay_loop();
    boost::asio::awaitable<void> receive_loop();
    boost::asio::awaitable<void> announce_store_reading();
    /// Tells peers which software versions began streams.
    boost::asio::awaitable<void> stream_loop();
    void receive(std::string_view datagram, const std::string& ip);
    void take(exchange::process_state state, const std::string& ip);
    void take(const exchange::near_update& update, const std::string& ip);
    void take(const exchange::usage_update& update, const std::string& ip);
    void take(const exchange::domain_report& report, const std::string& ip);
    void take(const exchange::deployment_report& report, const std::string& ip);
    void take(const exchange::use_update& update, const std::string& ip);
    void take(const exchange::quarantine_update& update, const std::string& ip);
    void take(const exchange::part_crash_update& update, const std::string& ip);
    void take(const exchange::endpoint_limit_update& update, const std::string& ip);
    void take(const exchange::stream_update& update, const std::string& ip);
    void take(const exchange::stream_query& query, const std::string& ip);
    void send_queries();
    void send_origins(const std::vector<dispatch::stream_origin>& streams,
                      const std::vector<settings::socket_address>& addresses);
    void send_slice(monotonic_time now);
    /// Tells the relays of this failure domain the state and, at a relay, sends the sums that are due.
    void take_relay_turn(std::size_t turn, monotonic_time now);
    void send_domain_reports(std::size_t turn, monotonic_time now);
    /// Encodes this process's state and, if asked for, its usage counts into datagrams.
    [[nodiscard]] std::vector<std::string> encode_state(monotonic_time now, detail part);
    [[nodiscard]] std::vector<std::string> encode_domain_report(monotonic_time now);
    [[nodiscard]] std::string encode_deployment_report(const peer_table::peer& receiver, monotonic_time now);
    [[nodiscard]] std::string encode_use_update(const failure_domain_id& domain,
                                                std::vector<exchange::account_use> use);
    [[nodiscard]] static peer_view view_of(const peer_table::peer& receiver, monotonic_time now);
    /// When a process, possibly this one, was last seen to hold the lease.
    [[nodiscard]] exchange::lease_sighting lease_sighting(monotonic_time now) const;
    [[nodiscard]] std::vector<exchange::service_demand> domain_demands() const;
    void schedule_update();
    void send_update();
    void send(const std::string& datagram, const settings::socket_address& address);
    void send(const std::vector<std::string>& datagrams, const settings::socket_address& address);
    void refresh(monotonic_time now);

    const process_settings m_settings;
    traffic_state& m_state;
    boost::asio::io_context& m_context;
    boost::asio::ip::udp::socket m_socket;
    peer_table m_table;
    /// Seed addresses. Each is sent to until a peer with that address is known.
    std::vector<settings::socket_address> m_seeds;
    std::uint64_t m_start;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lease_number = 0;
    known_versions m_versions;
    monotonic_time m_era_known_since{};
    bool m_is_leaving = false;
    exchange::round_schedule m_schedule;
    boost::asio::steady_timer m_update_timer; ///< Limits the rate of updates; runs while one is pending.
    bool m_is_update_due = false;
    monotonic_time m_updated{};
    boost::asio::steady_timer m_query_timer; ///< Collects streams that peers are asked for.
    std::vector<std::uint64_t> m_asked_streams;
    bool m_is_reading = false;
    monotonic_time m_store_answered{};
    std::function<void()> m_on_newer_versions;
};

} // namespace siskinwharf::forwarding
