#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/http/message.h"

namespace siskinwharf::cli {

/// One client account of the load, with its share of the requests.
struct load_account {
    std::string api_key;
    double weight = 1;
};

/// What load to send.
struct load_options {
    std::vector<http::address> targets;
    std::vector<load_account> accounts;
    std::string model;
    std::string service; ///< Empty for no calls to a plain service.
    std::string call_path = "/orders";
    std::vector<http::address> executions; ///< Where the service counts executions; empty for no check.
    double rate = 10;                      ///< Requests a second, over all accounts.
    double duration_s = 10;
    double call_share = 0; ///< Share of the requests that are calls to the service.
    double streaming_share = 0.8;
    std::int64_t prefixes = 8;        ///< Different prompt prefixes of an account.
    std::int64_t prefix_words = 200;  ///< Words that prompts of one prefix share.
    std::int64_t question_words = 40; ///< Words of their own.
    std::int64_t output_tokens = 60;
    std::int64_t deadline_ms = 30'000;
    std::int64_t seed = 1;
    bool verify_standin_tokens = false; ///< Compare each token with the one the engine stand-in must produce.
};

} // namespace siskinwharf::cli
