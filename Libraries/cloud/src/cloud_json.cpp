#include "cloud_json.h"

#include <stdexcept>

#include <boost/json.hpp>

namespace siskinwharf::cloud {

namespace {

std::string string_member(const boost::json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

purchase_kind decode_purchase_kind(const boost::json::object& object)
{
    const auto name = string_member(object, "kind");
    if (name == to_string(purchase_kind::reclaimable))
        return purchase_kind::reclaimable;
    if (name == to_string(purchase_kind::on_demand))
        return purchase_kind::on_demand;
    throw std::runtime_error("unknown purchase kind: " + name);
}

cloud_instance_state decode_instance_state(const boost::json::object& object)
{
    const auto name = string_member(object, "state");
    if (name == "starting")
        return cloud_instance_state::starting;
    if (name == "running")
        return cloud_instance_state::running;
    if (name == "leaving")
        return cloud_instance_state::leaving;
    if (name == "reclaimed" || name == "stopped")
        return cloud_instance_state::ended;
    throw std::runtime_error("unknown instance state: " + name);
}

cloud_instance decode_instance(const boost::json::object& object)
{
    return {.id = instance_id(string_member(object, "id")),
            .machine_class = string_member(object, "class"),
            .domain = failure_domain_id(string_member(object, "failure_domain")),
            .kind = decode_purchase_kind(object),
            .client_token = string_member(object, "client_token"),
            .state = decode_instance_state(object)};
}

} // namespace

std::string encode_start(const start_request& request)
{
    return boost::json::serialize(boost::json::object{{"class", request.machine_class},
                                                      {"failure_domain", request.domain.value()},
                                                      {"kind", to_string(request.kind)},
                                                      {"client_token", request.client_token}});
}

std::vector<cloud_offer> decode_offers(std::string_view body)
{
    std::vector<cloud_offer> result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("offers").as_array()) {
        const auto& object = item.as_object();
        result.push_back({.machine_class = string_member(object, "class"),
                          .domain = failure_domain_id(string_member(object, "failure_domain")),
                          .kind = decode_purchase_kind(object),
                          .price_microcents_per_second =
                              object.at("price_microcents_per_second").to_number<std::uint64_t>(),
                          .capacity = object.at("capacity").to_number<std::uint32_t>()});
    }
    return result;
}

cloud_instance decode_cloud_instance(std::string_view body)
{
    return decode_instance(boost::json::parse(body).as_object());
}

std::vector<cloud_instance> decode_cloud_instances(std::string_view body)
{
    std::vector<cloud_instance> result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("instances").as_array())
        result.push_back(decode_instance(item.as_object()));
    return result;
}

notice_page decode_notices(std::string_view body)
{
    const auto document = boost::json::parse(body);
    const auto& page = document.as_object();
    notice_page result;
    result.last = page.at("last").to_number<std::uint64_t>();
    for (const auto& item : page.at("notices").as_array()) {
        const auto& object = item.as_object();
        result.notices.push_back(
            {.sequence = object.at("sequence").to_number<std::uint64_t>(),
             .id = instance_id(string_member(object, "id")),
             .leaves_in = milliseconds(object.at("leaves_in_ms").to_number<std::int64_t>())});
    }
    return result;
}

std::string decode_error_name(std::string_view body)
{
    return string_member(boost::json::parse(body).as_object(), "error");
}

} // namespace siskinwharf::cloud
