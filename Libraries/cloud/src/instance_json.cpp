#include "instance_json.h"

#include <boost/json.hpp>

namespace siskinwharf::cloud {

namespace {

std::string text_of(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

template<typename Number>
Number number_of(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<Number>() : Number{};
}

served_workload workload_of(const boost::json::object& object)
{
    if (text_of(object, "kind") == "entry")
        return serves_entry{};
    const auto* serves = object.if_contains("serves");
    if (serves == nullptr || !serves->is_object())
        return serves_entry{};
    const auto& details = serves->as_object();
    if (details.contains("service"))
        return serves_service{service_id(text_of(details, "service"))};
    return serves_model{model_id(text_of(details, "model")), text_of(details, "version")};
}

instance_record to_record(const boost::json::object& object)
{
    instance_record result;
    result.id = instance_id(text_of(object, "id"));
    result.address = text_of(object, "address");
    result.port = number_of<std::uint16_t>(object, "port");
    result.peer_port = number_of<std::uint16_t>(object, "peer_port");
    result.domain = failure_domain_id(text_of(object, "failure_domain"));
    result.region = region_id(text_of(object, "region"));
    result.leaving = text_of(object, "state") == "leaving";
    result.started_ms = number_of<std::uint64_t>(object, "started_ms");
    result.serves = workload_of(object);
    result.capacity = number_of<std::uint32_t>(object, "capacity");
    result.machine_class = text_of(object, "class");
    result.price_microcents_per_second = number_of<std::uint64_t>(object, "price_microcents_per_second");
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
        result.push_back(to_record(item.as_object()));
    return result;
}

} // namespace siskinwharf::cloud
