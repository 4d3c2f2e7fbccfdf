#include "siskinwharf/exchange/stream_update.h"

#include <algorithm>

#include "wire_conversion.h"

namespace siskinwharf::exchange {

stream_update from_wire(const wire::stream_update& value)
{
    stream_update result{instance_id(value.process), to_unsigned(value.start), {}};
    for (const auto& group : value.groups) {
        for (const auto stream : group.streams)
            result.streams.push_back(
                {to_unsigned(stream), service_id(group.name), software_version(group.software)});
    }
    return result;
}

stream_query from_wire(const wire::stream_query& value)
{
    stream_query result{
        instance_id(value.process), to_unsigned(value.start), {}, static_cast<std::uint16_t>(value.port)};
    for (const auto stream : value.streams)
        result.streams.push_back(to_unsigned(stream));
    return result;
}

std::string encode(const stream_query& query)
{
    wire::stream_query result;
    result.process = query.process.value();
    result.start = to_signed(query.start);
    result.port = query.port;
    for (const auto stream : query.streams)
        result.streams.push_back(to_signed(stream));
    return write(result);
}

std::string encode(const stream_update& update)
{
    wire::stream_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    for (const auto& stream : update.streams) {
        const auto is_same = [&](const wire::stream_group& group) {
            return group.name == stream.service.value() && group.software == stream.software.value();
        };
        // A message has few groups: a service has few versions at a time.
        auto group = std::ranges::find_if(result.groups, is_same);
        if (group == result.groups.end()) {
            group = result.groups.emplace(result.groups.end());
            group->name = stream.service.value();
            group->software = stream.software.value();
        }
        group->streams.push_back(to_signed(stream.stream));
    }
    return write(result);
}

std::vector<stream_update> stream_updates(const instance_id& process, std::uint64_t start,
                                          const std::vector<dispatch::stream_origin>& streams)
{
    return split_into_messages<stream_update>(process, start, streams, maximum_streams_per_message);
}

std::vector<stream_query> stream_queries(const instance_id& process, std::uint64_t start,
                                         const std::vector<std::uint64_t>& streams)
{
    return split_into_messages<stream_query>(process, start, streams, maximum_streams_per_message);
}

} // namespace siskinwharf::exchange
