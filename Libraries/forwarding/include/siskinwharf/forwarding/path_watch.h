#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// Opens connections to a few endpoints when this process may have lost its paths to all of them, and tells
/// the state whether one opened.
class path_watch {
public:
    path_watch(boost::asio::io_context& context, traffic_state& state) : m_context(context), m_state(state) {}

    void start();

private:
    /// One probe of several endpoints.
    struct probe {
        std::size_t pending = 0;
        bool is_over = false;
    };

    boost::asio::awaitable<void> run();
    void begin_probe();
    boost::asio::awaitable<void> connect(std::shared_ptr<probe> part, dispatch::endpoint_record endpoint);
    void end_probe(bool is_reached);

    boost::asio::io_context& m_context;
    traffic_state& m_state;
    std::uint64_t m_turn = 0;
};

} // namespace siskinwharf::forwarding
