#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "notifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

enum class stream_phase {
    queued,    ///< Admitted, waits for a place in the batch.
    prefill,   ///< In the batch, its context is being computed.
    decode,    ///< In the batch, produces one token in each step.
    suspended, ///< Exported; produces nothing until it is resumed.
    done,
    cancelled,
};

/// One stream of the engine. Offsets count the tokens of the answer from its start, also those that another
/// engine produced.
struct engine_stream {
    explicit engine_stream(const boost::asio::any_io_executor& executor) : changed(executor) {}

    std::string id;
    std::int64_t attempt = 1;
    std::string model;
    std::string version;
    std::string prompt;
    std::int64_t priority = 0; ///< A higher number is served first.
    std::uint64_t max_tokens = 0;
    std::uint64_t first_offset = 0;   ///< Number of tokens that were produced elsewhere.
    std::vector<std::string> answer;  ///< All tokens of the answer so far.
    std::vector<std::string> context; ///< Tokens to prefill: prompt and tokens produced elsewhere.
    bool has_kv_cache = false; ///< The KV cache of the context is here already, so nothing is prefilled.

    std::uint64_t arrival = 0;
    stream_phase phase = stream_phase::queued;
    std::uint64_t prefill_left = 0;
    std::uint64_t reader = 0; ///< Number of the newest reader; older readers end.
    bool connected = false;
    monotonic_time unread_since{}; ///< When the newest reader left or the stream ended.
    notifier changed;

    [[nodiscard]] bool in_batch() const
    {
        return phase == stream_phase::prefill || phase == stream_phase::decode;
    }
    [[nodiscard]] bool active() const { return phase == stream_phase::queued || in_batch(); }
};

} // namespace siskinwharf::standins
