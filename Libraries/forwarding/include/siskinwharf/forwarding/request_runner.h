#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "siskinwharf/forwarding/call.h"
#include "siskinwharf/forwarding/helper_source.h"
#include "siskinwharf/forwarding/stream_origin_source.h"
#include "siskinwharf/forwarding/traffic_state.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/server.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::forwarding {

/// Handles callers' requests: resolves the route and the client account, selects an endpoint, forwards the
/// request, retries or resumes it where that is allowed, and sends the response.
class request_runner {
public:
    request_runner(boost::asio::any_io_executor executor, traffic_state& state, const call_codec& codec,
                   http::client& client, telemetry::metrics_registry& metrics, stream_origin_source& origins,
                   const helper_source* helpers = nullptr)
        : m_executor(std::move(executor)),
          m_state(state),
          m_codec(codec),
          m_client(client),
          m_metrics(metrics),
          m_origins(origins),
          m_helpers(helpers)
    {
    }

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer);
    /// Handles a request that a peer without a path to endpoints passes on.
    boost::asio::awaitable<void> handle_relayed(http::request message, http::response_writer& writer);

private:
    boost::asio::any_io_executor m_executor;
    traffic_state& m_state;
    const call_codec& m_codec;
    http::client& m_client;
    telemetry::metrics_registry& m_metrics;
    stream_origin_source& m_origins;
    const helper_source* m_helpers; ///< Null: requests are not passed to peers.
    std::size_t m_relayed = 0;      ///< Requests of peers in progress.
};

} // namespace siskinwharf::forwarding
