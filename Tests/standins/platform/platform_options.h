#pragma once

#include <cstdint>
#include <string>

namespace siskinwharf::standins {

/// Command line of the platform stand-in. A rate of 0 means no limit.
struct platform_options {
    std::int64_t port = 0;
    double writes_per_second = 400; ///< Commits and stored objects together.
    double reads_per_second = 2000; ///< Rows and objects together.
    std::int64_t table_ms = 2;      ///< Time of one table or object operation.
    std::int64_t list_lag_ms = 1000;
    std::int64_t entity_tags = 1; ///< 0 for a platform without conditional reads of the instance list.
    std::int64_t start_ms = 3000; ///< How long a cloud instance is `starting`.
    double weights_per_minute = 60;
    std::string failure_domains = "domain-1,domain-2,domain-3"; ///< Those with offers of the cloud API.
};

} // namespace siskinwharf::standins
