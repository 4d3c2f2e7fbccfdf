#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/control/order_planner.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::entry {

/// Port to the orders interface of model engines.
class order_endpoint {
public:
    order_endpoint() = default;
    order_endpoint(const order_endpoint&) = delete;
    order_endpoint& operator=(const order_endpoint&) = delete;
    order_endpoint(order_endpoint&&) = delete;
    order_endpoint& operator=(order_endpoint&&) = delete;
    virtual ~order_endpoint() = default;

    /// Sends an order once. It arrives within the longest order delay of the order settings or not at all.
    virtual boost::asio::awaitable<control::order_result> send(http::address target,
                                                               control::send_order order) = 0;
    /// The configuration that the engine has or is loading, or nothing if it did not answer.
    virtual boost::asio::awaitable<std::optional<control::endpoint_configuration>>
    read_back(http::address target) = 0;
};

} // namespace siskinwharf::entry
