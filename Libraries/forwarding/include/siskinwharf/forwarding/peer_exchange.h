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
#include "siskinwharf/forwarding/process_settings.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// A peer that has newer state than this process, and where to fetch it.
struct newer_peer {
    settings::socket_address address;
    std::uint64_t configuration_version = 0;
    std::uint64_t list_version = 0;
};

/// Sends this process's state to all known peers several times a second and keeps theirs. Peers are known
/// from the store, from the seeds and from their own messages.
class peer_exchange {
public:
    peer_exchange(boost::asio::io_context& context, const process_settings& settings, traffic_state& state,
                  std::uint64_t start);

    void start();
    void add_peers(const std::vector<registered_process>& processes);
    /// Facts that other parts of the process own.
    void set_lease_number(std::uint64_t fencing) { m_lease_number = fencing; }
    void set_list_version(std::uint64_t version) { m_list_version = version; }
    /// Whether this process reads the store's changes, and when the store last answered each of its calls.
    void set_reading(bool is_reading, monotonic_time answered);
    /// Tells near peers at once what this process has read.
    void tell_versions() { schedule_update(); }
    /// Is called when a near peer has told of newer versions.
    void on_newer_versions(std::function<void()> listener) { m_on_newer_versions = std::move(listener); }
    /// Whether this process is to read the store's changes itself.
    [[nodiscard]] bool is_store_reader() const;
    /// Whether some processes of the failure domain read the store for all.
    [[nodiscard]] bool shares_store() const;
    void set_leaving() { m_is_leaving = true; }

    /// Whether a peer that is heard says that it holds the duties.
    [[nodiscard]] bool hears_holder() const;
    /// The peer that knows the newest configuration or list, if it is newer than what this process has.
    [[nodiscard]] std::optional<newer_peer> find_newer() const;
    /// Work of a service in each failure domain, over all processes that are heard.
    [[nodiscard]] std::map<failure_domain_id, exchange::service_demand>
    demand_of(const service_id& service) const;
    /// What all processes counted until this time is known here.
    [[nodiscard]] monotonic_time all_heard_until(monotonic_time now) const;
    /// Tells all peers this process's state once more, before it ends.
    void tell_all();

private:
    struct peer {
        settings::socket_address address;
        std::optional<exchange::process_state> state;
        monotonic_time heard{};
        monotonic_time known{};
        std::optional<exchange::process_state> former; ///< The newest message before the peer started again.
        monotonic_time former_heard{};
        bool is_reading = false;
        monotonic_time store_answered{}; ///< While it is reading.
    };
    enum class peer_condition { heard, silent, gone };

    boost::asio::awaitable<void> send_loop();
    boost::asio::awaitable<void> receive_loop();
    boost::asio::awaitable<void> tell_reading();
    void receive(std::string_view datagram, const std::string& ip);
    void take(exchange::process_state state, const std::string& ip);
    void take(const exchange::near_update& update);
    void take(const exchange::usage_update& update);
    void send_slice(monotonic_time now);
    /// The datagrams that tell this process's state.
    [[nodiscard]] std::vector<std::string> encode_state(monotonic_time now);
    void schedule_update();
    void send_update();
    void send(const std::string& datagram, const settings::socket_address& address);
    void send(const std::vector<std::string>& datagrams, const settings::socket_address& address);
    [[nodiscard]] bool is_near(const peer& entry) const;
    [[nodiscard]] std::vector<dispatch::store_reader_candidate> reader_candidates() const;
    void refresh(monotonic_time now);
    [[nodiscard]] peer_condition condition_of(const peer& entry, monotonic_time now) const;
    [[nodiscard]] milliseconds interval() const;

    const process_settings m_settings;
    traffic_state& m_state;
    boost::asio::io_context& m_context;
    boost::asio::ip::udp::socket m_socket;
    std::map<instance_id, peer> m_peers;
    std::vector<settings::socket_address> m_seeds; ///< Until their processes are known.
    std::uint64_t m_start;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lease_number = 0;
    std::uint64_t m_list_version = 0;
    bool m_is_leaving = false;
    exchange::round_schedule m_schedule;
    boost::asio::steady_timer m_update_timer; ///< Runs while an update waits to be sent.
    bool m_is_update_due = false;
    monotonic_time m_updated{};
    bool m_is_reading = false;
    monotonic_time m_store_answered{};
    std::function<void()> m_on_newer_versions;
};

} // namespace siskinwharf::forwarding
