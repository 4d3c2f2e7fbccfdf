#pragma once

#include <functional>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "siskinwharf/cloud/http_platform.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/membership/instance_share.h"
#include "siskinwharf/membership/member_options.h"

namespace siskinwharf::entry {

/// What the instance feed needs from the peers. Called on the control thread.
struct instance_feed_ports {
    /// This process and the working members of its failure domain.
    std::function<std::vector<instance_id>()> members;
    /// Tells all members.
    std::function<void(const peer::instance_changes&)> share;
    /// Asks a member, or any if none is given.
    std::function<boost::asio::awaitable<std::optional<peer::instance_changes>>(
        std::optional<membership::member_info>, peer::instance_list_request)>
        fetch;
    /// Tries to find members without the instance list.
    std::function<boost::asio::awaitable<void>()> join_seed;
};

/// Keeps the instance list up to date: reads it from the platform or takes it from a member, as
/// `membership::instance_share` decides. Runs on the control thread.
class instance_feed {
public:
    using list_handler = std::function<void(const std::vector<cloud::instance_record>&)>;

    /// `on_list` is called with the whole list after each change, after `request_list` and now and then.
    instance_feed(boost::asio::io_context& context, entry_core& core, http::client& client,
                  instance_feed_ports ports, list_handler on_list);

    void start();
    /// Has the unchanged list handed out again soon.
    void request_list() { m_is_list_wanted = true; }
    /// Takes in a report of a member.
    void receive(const instance_id& sender, const peer::address& from, const peer::instance_changes& changes);
    /// Answers a member.
    [[nodiscard]] peer::instance_changes reply(const peer::instance_list_request& request) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> fetch(std::optional<membership::member_info> from);
    void note_list_answers(bool answers);
    void hand_out();

    boost::asio::io_context& m_context;
    entry_core& m_core;
    cloud::http_instance_list m_list;
    instance_feed_ports m_ports;
    list_handler m_on_list;
    std::mt19937_64 m_random{std::random_device{}()};
    membership::instance_share m_share;
    std::uint64_t m_handed_out = 0;
    monotonic_time m_hand_out_at;
    bool m_is_list_wanted = false;
    bool m_is_fetching = false;
    bool m_list_answers = true;
};

} // namespace siskinwharf::entry
