#include "endpoint_reports.h"

namespace siskinwharf::forwarding {

std::vector<std::string> encode_reports(const traffic_state& state, const instance_id& process,
                                        std::uint64_t start, std::uint64_t sequence, monotonic_time now)
{
    std::vector<std::string> datagrams;
    for (const auto& update :
         exchange::endpoint_limit_updates(process, start, state.balancer().constraints().announcements(now)))
        datagrams.push_back(exchange::encode(update));
    if (!state.has_crash_news(now) && sequence % messages_per_crash_repetition != 0)
        return datagrams;
    for (const auto& update : exchange::quarantine_updates(process, start, state.crashes_to_share(now)))
        datagrams.push_back(exchange::encode(update));
    auto parts = state.parts().records(now, exchange::maximum_part_records_per_message);
    if (!parts.empty())
        datagrams.push_back(exchange::encode(exchange::part_crash_update{process, start, std::move(parts)}));
    return datagrams;
}

} // namespace siskinwharf::forwarding
