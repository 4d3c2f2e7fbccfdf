#include "siskinwharf/routing/endpoint_info.h"

#include <algorithm>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

constexpr double seconds_per_hour = 3600.0;

struct target_hasher {
    std::uint64_t operator()(const model_target& value) const
    {
        return combine64(hash64(value.model.value()), hash64(value.version));
    }
    std::uint64_t operator()(const service_target& value) const { return hash64(value.service.value()); }
};

struct token_price {
    const endpoint_info& info;

    double operator()(const price_per_token& value) const { return static_cast<double>(value.microcents); }
    double operator()(const price_per_hour& value) const
    {
        const auto rate = info.nominal_tokens_per_second > 0 ? info.nominal_tokens_per_second
                                                             : std::max<std::uint32_t>(info.capacity, 1);
        return static_cast<double>(value.microcents) / (seconds_per_hour * rate);
    }
};

} // namespace

std::uint64_t hash_target(const target& value)
{
    return mix64(std::visit(target_hasher{}, value) + value.index());
}

double microcents_per_token(const endpoint_info& info)
{
    return std::visit(token_price{info}, info.cost);
}

} // namespace siskinwharf::routing
