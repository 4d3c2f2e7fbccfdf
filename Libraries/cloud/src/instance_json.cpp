#include "instance_json.h"

#include <boost/json.hpp>

namespace siskinwharf::cloud {

namespace {

std::string string_or_empty(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

template<typename Number>
Number number_or_zero(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<Number>() : Number{};
}

served_workload decode_workload(const boost::json::object& object)
{
    if (string_or_empty(object, "kind") == "entry")
        return serves_entry{};
    const auto* serves = object.if_contains("serves");
    if (serves == nullptr || !serves->is_object())
        return serves_entry{};
    const auto& details = serves->as_object();
    if (details.contains("service"))
        return serves_service{service_id(string_or_empty(details, "service"))};
    return serves_model{model_id(string_or_empty(details, "model")), string_or_empty(details, "version")};
}

instance_record decode_record(const boost::json::object& object)
{
    instance_record result;
    result.id = instance_id(string_or_empty(object, "id"));
    result.address = string_or_empty(object, "address");
    result.port = number_or_zero<std::uint16_t>(object, "port");
    result.peer_port = number_or_zero<std::uint16_t>(object, "peer_port");
    result.domain = failure_domain_id(string_or_empty(object, "failure_domain"));
    result.region = region_id(string_or_empty(object, "region"));
    result.leaving = string_or_empty(object, "state") == "leaving";
    result.started_ms = number_or_zero<std::uint64_t>(object, "started_ms");
    result.serves = decode_workload(object);
    result.capacity = number_or_zero<std::uint32_t>(object, "capacity");
    result.machine_class = string_or_empty(object, "class");
    result.price_microcents_per_second = number_or_zero<std::uint64_t>(object, "price_microcents_per_second");
    if (const auto* reclaimable = object.if_contains("reclaimable"); reclaimable != nullptr)
        result.reclaimable = reclaimable->is_bool() && reclaimable->as_bool();
    if (const auto* leaves = object.if_contains("leaves_in_ms"); leaves != nullptr && leaves->is_number())
        result.leaves_in = milliseconds(leaves->to_number<std::int64_t>());
    return result;
}

} // namespace

std::vector<instance_record> decode_instances(std::string_view body)
{
    std::vector<instance_record> result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("instances").as_array())
        result.push_back(decode_record(item.as_object()));
    return result;
}

} // namespace siskinwharf::cloud
