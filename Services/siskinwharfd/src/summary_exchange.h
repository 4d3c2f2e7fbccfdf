#pragma once

#include <functional>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/membership/domain_summary_table.h"

namespace siskinwharf::entry {

/// Exchanges the compact capacity of the own failure domain for those of the others, as
/// `membership::domain_summary_table` decides. Runs on the control thread.
class summary_exchange {
public:
    using request_sender =
        std::function<boost::asio::awaitable<std::optional<peer::message>>(membership::outgoing_message)>;

    /// `send` sends a request to an entry process of another failure domain and returns its reply.
    summary_exchange(boost::asio::io_context& context, entry_core& core, request_sender send);

    void start();
    /// Takes the entry processes of the other failure domains from the instance list.
    void update(const std::vector<cloud::instance_record>& records);
    /// Answers a process of another failure domain.
    [[nodiscard]] peer::summary_reply reply(const peer::summary_request& request);
    /// What is known of the other failure domains now.
    [[nodiscard]] std::vector<peer::domain_summary> summaries() const { return m_table.summaries(now()); }

private:
    boost::asio::awaitable<void> run();
    [[nodiscard]] std::vector<peer::summary_row> own_rows() const;

    boost::asio::io_context& m_context;
    entry_core& m_core;
    request_sender m_send;
    std::mt19937_64 m_random{std::random_device{}()};
    membership::domain_summary_table m_table;
    std::vector<membership::remote_instance> m_remotes;
};

} // namespace siskinwharf::entry
