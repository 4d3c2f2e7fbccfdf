#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "http_server.h"
#include "process_actions.h"
#include "service_options.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// Called with the idempotency key and the path of each execution of a non-idempotent call.
using execution_observer = std::function<void(const std::string& key, const std::string& path)>;

/// Plain service that counts how often it executed each call. It does not recognise a repeated call: that no
/// call runs twice is the product's task. docs/standins.md describes the protocol.
class plain_service {
public:
    plain_service(boost::asio::io_context& context, service_options options, process_actions actions,
                  execution_observer observer);

    [[nodiscard]] http_server& server() { return m_server; }

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> call(http_exchange& exchange);
    boost::asio::awaitable<void> read_stock(http_exchange& exchange);
    boost::asio::awaitable<void> apply_faults(http_exchange& exchange);
    boost::asio::awaitable<void> leave_after(milliseconds delay);
    /// Counts an execution and returns its answer.
    [[nodiscard]] http_response execute(const http_request& request);
    [[nodiscard]] http_response describe_executions() const;
    [[nodiscard]] http_response describe_state() const;
    /// Takes one of the next calls that a fault hits.
    [[nodiscard]] static bool take(std::int64_t& count);

    boost::asio::io_context& m_context;
    service_options m_options;
    process_actions m_actions;
    execution_observer m_observer;
    http_server m_server;
    std::map<std::string, std::uint64_t> m_executions_by_key;
    std::map<std::string, std::uint64_t> m_executions_by_body;
    std::uint64_t m_executions = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_in_flight = 0;
    bool m_leaving = false;
    milliseconds m_delay{0};
    std::int64_t m_close_after_executing = 0;
    std::int64_t m_close_before_executing = 0;
    std::string m_crash_on;
};

} // namespace siskinwharf::standins
