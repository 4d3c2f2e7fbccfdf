#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "entry_core.h"
#include "live_request.h"
#include "request_version.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/serving/next_step.h"
#include "suspect_run.h"

namespace siskinwharf::entry {

/// Runs one model request: chooses endpoints, follows the stream, resumes, moves and continues elsewhere
/// until the answer is whole or the request has failed. Runs on the thread of its worker.
class model_runner {
public:
    model_runner(entry_core& core, http::client& client, std::shared_ptr<live_request> request);

    /// Ends when the request has ended. Does not throw.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> run_attempts();
    /// Waits for a slot at an endpoint. Throws `request_refused`.
    boost::asio::awaitable<routing::chosen_endpoint> acquire();
    boost::asio::awaitable<serving::attempt_end> run_attempt(routing::chosen_endpoint& chosen);
    boost::asio::awaitable<serving::attempt_end> resume_attempt(routing::chosen_endpoint& chosen);
    boost::asio::awaitable<serving::attempt_end> import_attempt(routing::chosen_endpoint& chosen,
                                                                std::string kv);
    boost::asio::awaitable<serving::attempt_end> follow(routing::chosen_endpoint& chosen,
                                                        http::line_stream& stream);
    /// Carries out a move that the reclaim plan asked for; falls back to continuing elsewhere.
    boost::asio::awaitable<void> prepare_move();
    /// Tells an endpoint that its stream is not wanted any more.
    boost::asio::awaitable<void> cancel_at(std::shared_ptr<const routing::endpoint_info> endpoint);

    /// The endpoint at which a request that was handed over may still run.
    [[nodiscard]] std::optional<routing::chosen_endpoint> take_restored_endpoint();
    void record(telemetry::latency kind, nanoseconds duration) const;
    /// Records the latencies of tokens that have just arrived.
    void record_tokens(std::size_t count);
    [[nodiscard]] monotonic_time slot_limit() const;
    /// Waits until the budget allows the retry. Throws `request_refused`.
    boost::asio::awaitable<void> wait_for_retry();
    /// Frees the slot and tells the gate.
    void release(routing::chosen_endpoint& chosen, monotonic_time acquired_at);
    /// The endpoint that the reclaim plan chose, if it still has a slot.
    [[nodiscard]] std::optional<routing::chosen_endpoint> take_planned_target();
    void take_lines(const std::string& lines, bool& ended);
    [[nodiscard]] routing::routing_request make_routing_request() const;
    [[nodiscard]] outcome refusal_outcome() const;
    void apply(const serving::continue_elsewhere& step, const routing::endpoint_info& endpoint,
               serving::attempt_end end);

    entry_core& m_core;
    http::client& m_client;
    std::shared_ptr<live_request> m_request;
    std::vector<std::uint64_t> m_prefix_hashes;
    std::uint64_t m_prompt_tokens = 0;
    serving::attempt_history m_history;
    /// An attempt ended without a word on whether the endpoint took the request, so that a refusal must not
    /// say `not_run`.
    bool m_may_have_run = false;
    std::vector<endpoint_id> m_excluded;
    suspect_run m_suspect;
    request_version m_version;
    monotonic_time m_last_tokens_at{};
    /// The last attempt was refused by a full endpoint.
    bool m_refused_full = false;
    /// When a request that is not accepted gives up waiting for a slot.
    monotonic_time m_slot_limit{};
    /// Endpoint that the reclaim plan chose for the next attempt, and the KV cache that was exported for it,
    /// if any.
    endpoint_id m_planned_target;
    std::string m_exported_kv;
};

} // namespace siskinwharf::entry
