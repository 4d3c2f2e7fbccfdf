#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cloud_service.h"
#include "http_server.h"
#include "instance_registry.h"
#include "notifier.h"
#include "platform_options.h"
#include "rate_limiter.h"
#include "table_service.h"

namespace siskinwharf::standins {

/// Table service, object store, instance list, cloud API and weight store in one server.
/// docs/standins.md describes the protocol.
class platform_service {
public:
    platform_service(boost::asio::io_context& context, platform_options options);

    [[nodiscard]] http_server& server() { return m_server; }

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    /// Applies the fault of a part of the platform. False if the connection was closed by it.
    boost::asio::awaitable<bool> pass_faults(http_exchange& exchange, std::string part);
    boost::asio::awaitable<void> commit(http_exchange& exchange);
    boost::asio::awaitable<void> commit_later(table_transaction transaction, milliseconds delay);
    [[nodiscard]] http_response route(const http_request& request);
    [[nodiscard]] http_response read_row(const http_request& request);
    [[nodiscard]] http_response access_object(const http_request& request);
    [[nodiscard]] http_response access_instances(const http_request& request);
    [[nodiscard]] http_response read_instances(const http_request& request, monotonic_time shown);
    [[nodiscard]] http_response access_cloud(const http_request& request);
    [[nodiscard]] http_response read_weights(const http_request& request);
    [[nodiscard]] http_response reclaim(const boost::json::object& body);
    [[nodiscard]] http_response apply_faults(const boost::json::object& body);
    [[nodiscard]] http_response statistics() const;
    [[nodiscard]] bool is_rejected(const http_request& request) const;

    boost::asio::io_context& m_context;
    platform_options m_options;
    http_server m_server;
    table_service m_table;
    std::map<std::string, std::string> m_objects;
    instance_registry m_instances;
    cloud_service m_cloud;
    rate_limiter m_writes;
    rate_limiter m_reads;
    rate_limiter m_weights;
    notifier m_faults_changed;
    std::map<std::string, std::string> m_modes; // Fault of each part of the platform; `up` if missing.
    std::optional<monotonic_time> m_list_frozen;
    milliseconds m_slow{0};
    std::int64_t m_answers_to_lose = 0;
    milliseconds m_late{0};
    std::set<std::string> m_rejected_instances;
    std::set<std::uint16_t> m_rejected_ports;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace siskinwharf::standins
