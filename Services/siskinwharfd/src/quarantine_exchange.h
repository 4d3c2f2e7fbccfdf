#pragma once

#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "peer_round.h"
#include "quarantine_outbox.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

[[nodiscard]] peer::quarantine_update to_update(const std::vector<admission::quarantine_record>& records);
[[nodiscard]] std::vector<admission::quarantine_record> to_records(const peer::quarantine_update& update);

/// Keeps the quarantine the same at all entry processes of the failure domain (P8): sends what this process
/// finds out, takes in what the peers send, and fetches the existing entries when the process starts.
/// Confined to the control thread.
class quarantine_exchange {
public:
    quarantine_exchange(boost::asio::io_context& control, entry_core& core, peer_ports ports);

    /// Starts to exchange entries. The process is not ready until the existing ones are known.
    void start();
    /// How many other working entry processes the instance list shows.
    void set_listed_peers(std::size_t count) { m_listed_peers = count; }
    /// Entries that a peer has sent.
    void receive(const instance_id& sender, const peer::quarantine_update& update);
    /// Merges the entries of a peer. A request without entries gets those of this process, the most urgent
    /// first.
    [[nodiscard]] peer::quarantine_update reply(const instance_id& sender,
                                                const peer::quarantine_update& update);

private:
    boost::asio::awaitable<void> confirm(admission::content_key key);
    boost::asio::awaitable<void> confirm_here(admission::content_key key);
    void publish(const std::vector<admission::quarantine_record>& records);
    void flush();
    boost::asio::awaitable<void> run_flushes();
    boost::asio::awaitable<void> fetch_entries();
    /// Returns whether a peer has given its entries.
    boost::asio::awaitable<bool> fetch_from_peers();
    [[nodiscard]] peer::quarantine_update own_entries() const;

    boost::asio::io_context& m_control;
    entry_core& m_core;
    peer_ports m_ports;
    quarantine_outbox m_outbox{outbox_limits{}};
    std::optional<std::size_t> m_listed_peers; ///< Nothing until the instance list was read.
};

} // namespace siskinwharf::entry
