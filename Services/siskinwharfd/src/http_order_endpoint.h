#pragma once

#include "order_endpoint.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::entry {

/// Orders over `POST /orders` and `GET /orders`. Used from the thread of the client's executor.
class http_order_endpoint final : public order_endpoint {
public:
    explicit http_order_endpoint(http::client& client) : m_client(client) {}

    boost::asio::awaitable<control::order_result> send(http::address target,
                                                       control::send_order order) override;
    boost::asio::awaitable<std::optional<control::endpoint_configuration>>
    read_back(http::address target) override;

private:
    http::client& m_client;
};

} // namespace siskinwharf::entry
