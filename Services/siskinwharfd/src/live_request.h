#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/serving/chat_response.h"
#include "siskinwharf/serving/stream_assembler.h"
#include "siskinwharf/telemetry/latency_histograms.h"

namespace siskinwharf::entry {

/// What a caller asked for, as it was admitted.
struct request_spec {
    request_id id;
    account_id account;
    model_id model;
    std::string version; ///< The answer's, once the request is accepted.
    /// Versions that may serve the request before it is accepted, the preferred one first.
    std::vector<std::string> versions;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool streaming = false;
    monotonic_time received;
    monotonic_time deadline;
    milliseconds first_token_target{0};
    std::uint32_t share = 1; ///< Weight of the account in the fair queue.
    /// Of the account and model. May be null.
    std::shared_ptr<telemetry::latency_histograms> latencies;
};

/// Tells the runner to leave an endpoint that is being reclaimed.
struct move_request {
    endpoint_id to;
    bool with_cache = false; ///< Export the KV cache and import it at the target.
};

/// One model request in progress: its record, its answer so far, and the callers that wait for it. Confined
/// to the thread of its worker.
class live_request {
public:
    /// A request in phase `handed_over` goes on at a peer.
    enum class phase { waiting, accepted, finished, failed, handed_over };

    live_request(const boost::asio::any_io_executor& executor, request_spec spec);

    [[nodiscard]] const request_spec& spec() const { return m_spec; }
    [[nodiscard]] const serving::answer_identity& identity() const { return m_identity; }
    [[nodiscard]] serving::stream_assembler& assembler() { return m_assembler; }
    [[nodiscard]] const std::vector<std::string>& tokens() const { return m_assembler.tokens(); }

    [[nodiscard]] phase current_phase() const { return m_phase; }
    [[nodiscard]] bool ended() const { return m_phase != phase::waiting && m_phase != phase::accepted; }
    /// Set in phase `failed`.
    [[nodiscard]] const std::optional<http::refusal>& failure() const { return m_failure; }

    void accept();
    /// Sets the version of the answer. Must not be called once the request is accepted.
    void set_version(std::string version) { m_spec.version = std::move(version); }
    void finish();
    void fail(http::refusal reason);
    /// Notes that tokens arrived, for the speed of the stream.
    void note_tokens(std::size_t count, monotonic_time time);
    /// Speed of the stream at its present endpoint; 0 before it is known.
    [[nodiscard]] double tokens_per_second() const;
    /// Continues with what a peer has handed over; the stream may still run at `endpoint`.
    void restore(std::vector<std::string> tokens, std::uint32_t attempt, endpoint_id endpoint);
    /// Ends the request here, because a peer has taken it.
    void hand_over();
    [[nodiscard]] std::uint32_t attempt() const { return m_assembler.attempt(); }
    /// Endpoint at which a request that was handed over may still run.
    [[nodiscard]] const endpoint_id& restored_endpoint() const { return m_restored_endpoint; }
    /// Wakes everybody who waits for a change.
    void notify();
    /// Returns after the next change.
    boost::asio::awaitable<void> wait_for_change();

    /// Endpoint that runs the request and the open stream, while there is one.
    void attach(std::shared_ptr<const routing::endpoint_info> endpoint, http::line_stream* stream);
    void detach();
    [[nodiscard]] const std::shared_ptr<const routing::endpoint_info>& endpoint() const { return m_endpoint; }
    /// Asks the runner to move the request; ends the read of its stream.
    void request_move(move_request move);
    [[nodiscard]] std::optional<move_request> take_move();
    [[nodiscard]] bool has_move() const { return m_move.has_value(); }

    /// Callers that are reading the answer now.
    std::uint32_t readers = 0;
    /// When the last reader went away.
    monotonic_time abandoned_at{};
    /// When the request ended.
    monotonic_time ended_at{};
    /// Last move of the reclaim plan, to plan each request once for each endpoint.
    endpoint_id planned_for;

private:
    request_spec m_spec;
    serving::answer_identity m_identity;
    serving::stream_assembler m_assembler;
    phase m_phase = phase::waiting;
    std::optional<http::refusal> m_failure;
    boost::asio::steady_timer m_changed;
    std::shared_ptr<const routing::endpoint_info> m_endpoint;
    http::line_stream* m_stream = nullptr;
    std::optional<move_request> m_move;
    endpoint_id m_restored_endpoint;
    monotonic_time m_first_tokens_at{};
    monotonic_time m_last_tokens_at{};
    std::size_t m_tokens_since_first = 0;
};

} // namespace siskinwharf::entry
