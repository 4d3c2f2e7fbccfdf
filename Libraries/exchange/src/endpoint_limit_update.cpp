#include "siskinwharf/exchange/endpoint_limit_update.h"

#include <cmath>

#include "wire_conversion.h"

namespace siskinwharf::exchange {

endpoint_limit_update from_wire(const wire::endpoint_limit_update& value)
{
    endpoint_limit_update result{instance_id(value.process), to_unsigned(value.start), {}};
    for (const auto& entry : value.limits) {
        auto& limit = result.limits.emplace_back();
        limit.endpoint = endpoint_id(entry.endpoint);
        limit.started_ms = to_unsigned(entry.started_ms);
        if (entry.per_thousand_seconds >= 0)
            limit.per_second = static_cast<double>(entry.per_thousand_seconds) / permille;
        limit.age = to_age(entry.age_ms);
        limit.is_leaving = entry.__isset.is_leaving && entry.is_leaving;
    }
    return result;
}

std::string encode(const endpoint_limit_update& update)
{
    /// Larger rates limit nothing. Bounds the conversion to an integer.
    constexpr double maximum_per_second = 1e9;
    wire::endpoint_limit_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    for (const auto& limit : update.limits) {
        auto& entry = result.limits.emplace_back();
        entry.endpoint = limit.endpoint.value();
        entry.started_ms = to_signed(limit.started_ms);
        if (limit.per_second)
            entry.per_thousand_seconds =
                std::llround(std::min(*limit.per_second, maximum_per_second) * permille);
        entry.age_ms = limit.age.count();
        if (limit.is_leaving)
            entry.__set_is_leaving(true);
    }
    return write(result);
}

std::vector<endpoint_limit_update> endpoint_limit_updates(const instance_id& process, std::uint64_t start,
                                                          const std::vector<dispatch::endpoint_limit>& limits)
{
    return split_into_messages<endpoint_limit_update>(process, start, limits, maximum_limits_per_message);
}

} // namespace siskinwharf::exchange
