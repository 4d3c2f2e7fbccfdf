#pragma once

#include <cstdint>
#include <string>

namespace siskinwharf::standins {

/// Command line of the service stand-in.
struct service_options {
    std::int64_t port = 0;
    std::string service = "orders";
    std::string endpoint_id = "service-1";
    std::string failure_domain = "domain-1";
    std::int64_t work_ms = 5; ///< Time of one call, before it is executed.
};

} // namespace siskinwharf::standins
