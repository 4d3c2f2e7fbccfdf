#pragma once

#include <cstdint>
#include <string>

namespace siskinwharf::standins {

/// Command line of the engine stand-in.
struct engine_options {
    std::int64_t port = 0;
    std::string model = "model";
    std::string version = "1";
    std::string failure_domain = "domain-1";
    std::string endpoint_id = "engine-1";
    std::int64_t capacity = 8;     ///< Streams in the batch.
    std::int64_t queue_limit = 16; ///< Admitted streams that wait for a place in the batch.
    double prefill_tokens_per_second = 4000;
    std::int64_t prefill_chunk_tokens = 512; ///< Most prompt tokens of one scheduler step.
    double decode_ms_per_token = 20;         ///< Time of a decoding step with a batch of one.
    double batch_slowdown = 0.05;            ///< Growth of the step time for each further stream.
    std::int64_t cache_blocks = 4096;
    std::int64_t seed = 1;
    std::string fencing = "checked";
    std::int64_t linger_ms = 30'000; ///< How long a stream outlives its connection or its end.
    std::int64_t load_lag_ms = 200;
    std::int64_t cache_event_lag_ms = 500;
    std::int64_t cache_event_gap_percent = 5;
    std::int64_t load_model_ms = 2000; ///< Time to load one model version.
    std::int64_t load_adapter_ms = 200;
    std::int64_t kv_bytes_per_token = 131'072;
    double kv_megabytes_per_second = 2000;
};

} // namespace siskinwharf::standins
