#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/forwarding/deployment_store.h"
#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// Keeps this process registered in the store so that its peers find it, and reads their registrations.
/// A registration that is not renewed expires; a planned stop withdraws it.
class process_registrar {
public:
    /// `known_era` returns the newest era of the store that this process has seen or heard of. The store may
    /// have lost a registration that it took in an earlier one.
    process_registrar(boost::asio::io_context& context, deployment_store& store, traffic_state& state,
                      peer_exchange& peers, std::function<std::uint64_t()> known_era);

    void start(registered_process self);
    /// Begins to withdraw the registration.
    void withdraw();
    /// Whether nothing is left to do for `withdraw`, or the store refused it.
    [[nodiscard]] bool is_withdrawn() const { return m_is_withdrawn; }

    /// Interval between two renewals in a deployment of this size, so that all together make at most 4 writes
    /// a second.
    [[nodiscard]] static milliseconds renewal_interval(std::size_t processes);

private:
    boost::asio::awaitable<void> run(registered_process self);
    boost::asio::awaitable<void> register_if_due(registered_process self);
    boost::asio::awaitable<void> read_if_due();
    boost::asio::awaitable<void> remove_expired();
    boost::asio::awaitable<void> withdraw_registration(registered_process self);
    boost::asio::awaitable<void> pause(milliseconds time);
    /// Wait of a process before it registers again after a restore of the store.
    [[nodiscard]] static milliseconds restore_spread(const instance_id& process);
    [[nodiscard]] monotonic_time next_read(monotonic_time now) const;

    boost::asio::io_context& m_context;
    deployment_store& m_store;
    traffic_state& m_state;
    peer_exchange& m_peers;
    std::function<std::uint64_t()> m_known_era;
    boost::asio::steady_timer m_timer;
    std::optional<std::uint64_t> m_era; ///< In which the store took the registration.
    monotonic_time m_next_renewal{};
    monotonic_time m_next_read{};
    bool m_is_withdrawing = false;
    bool m_is_withdrawn = false;
};

} // namespace siskinwharf::forwarding
