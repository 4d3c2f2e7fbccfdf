#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/usage/usage_ledger.h"

namespace siskinwharf::forwarding {

/// Identifies the caller: the process that holds the lease, and its fencing number.
struct duty_holder {
    instance_id process;
    std::uint64_t fencing = 0;
};

/// Desired number of endpoints of a service, of one kind, in one failure domain.
struct endpoint_target {
    service_id service;
    failure_domain_id domain;
    std::uint32_t count = 0;
    bool is_reclaimable = false;

    auto operator<=>(const endpoint_target&) const = default;
};

enum class duty_result {
    done,
    refused,     ///< The platform rejected the call.
    unavailable, ///< No response; the call may have taken effect.
};

[[nodiscard]] constexpr std::string_view to_string(duty_result result)
{
    switch (result) {
    case duty_result::done:
        return "done";
    case duty_result::refused:
        return "refused";
    case duty_result::unavailable:
        return "unavailable";
    }
    return "unknown";
}

/// Interface to the platform calls that only the lease holder makes.
class duty_platform {
public:
    duty_platform() = default;
    duty_platform(const duty_platform&) = delete;
    duty_platform& operator=(const duty_platform&) = delete;
    duty_platform(duty_platform&&) = delete;
    duty_platform& operator=(duty_platform&&) = delete;
    virtual ~duty_platform() = default;

    virtual boost::asio::awaitable<duty_result> report_usage(duty_holder holder, usage::window_number window,
                                                             usage::window_counts counts) = 0;
    virtual boost::asio::awaitable<duty_result> order_endpoints(duty_holder holder,
                                                                endpoint_target target) = 0;
};

} // namespace siskinwharf::forwarding
