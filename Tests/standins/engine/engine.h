#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "batch_scheduler.h"
#include "cache_event_log.h"
#include "engine_options.h"
#include "engine_stream.h"
#include "http_exchange.h"
#include "http_server.h"
#include "load_reports.h"
#include "model_orders.h"
#include "process_actions.h"
#include "token_lines.h"

namespace siskinwharf::standins {

/// Model engine that answers with deterministic tokens at the pace of a continuously batching engine.
/// docs/standins.md describes the protocol.
class engine {
public:
    engine(boost::asio::io_context& context, engine_options options, process_actions actions);

    [[nodiscard]] http_server& server() { return m_server; }

private:
    using stream_pointer = std::shared_ptr<engine_stream>;

    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_stream(http_exchange& exchange);
    boost::asio::awaitable<void> create_stream(http_exchange& exchange);
    boost::asio::awaitable<void> import_stream(http_exchange& exchange);
    boost::asio::awaitable<void> resume_stream(http_exchange& exchange, stream_pointer stream);
    boost::asio::awaitable<void> export_stream(http_exchange& exchange, stream_pointer stream);
    boost::asio::awaitable<void> follow(http_exchange& exchange, stream_pointer stream, std::uint64_t offset);
    boost::asio::awaitable<void> apply_faults(http_exchange& exchange);
    boost::asio::awaitable<void> run_scheduler();
    boost::asio::awaitable<void> expire_streams();
    boost::asio::awaitable<void> leave_after(milliseconds delay);

    /// The refusal of a new stream, or a response with status 200 if it can be admitted.
    [[nodiscard]] http_response check_admission(const engine_stream& stream, const std::string& adapter);
    void admit(const stream_pointer& stream);
    void cancel(engine_stream& stream);
    /// Ends and forgets the streams whose model or version an order has unloaded.
    void drop_unloaded_streams();
    void check_crash(const engine_stream& stream);
    void record_load(std::uint64_t decoded = 0);
    [[nodiscard]] boost::json::object statistics() const;

    boost::asio::io_context& m_context;
    engine_options m_options;
    process_actions m_actions;
    http_server m_server;
    batch_scheduler m_scheduler;
    model_orders m_orders;
    cache_event_log m_cache_events;
    load_reports m_load_reports;
    notifier m_work;
    std::map<std::string, stream_pointer> m_streams;
    monotonic_time m_export_free{};
    nanoseconds m_overrun{0}; // Sum of the times by which steps ended late.
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_imported_tokens = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_dropped_by_orders = 0;
    std::uint64_t m_wrong_produced = 0;
    std::map<std::string, std::uint64_t> m_refused;
    bool m_leaving = false;
    std::string m_crash_on;
    double m_slow_factor = 1;
    line_faults m_line_faults;
};

} // namespace siskinwharf::standins
