#include "cloud_json.h"

#include <stdexcept>

#include <boost/json.hpp>

namespace siskinwharf::cloud {

namespace {

std::string text_of(const boost::json::object& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

purchase_kind kind_of(const boost::json::object& object)
{
    const auto name = text_of(object, "kind");
    if (name == to_string(purchase_kind::reclaimable))
        return purchase_kind::reclaimable;
    if (name == to_string(purchase_kind::on_demand))
        return purchase_kind::on_demand;
    throw std::runtime_error("unknown kind of instance: " + name);
}

cloud_instance_state state_of(const boost::json::object& object)
{
    const auto name = text_of(object, "state");
    if (name == "starting")
        return cloud_instance_state::starting;
    if (name == "running")
        return cloud_instance_state::running;
    if (name == "leaving")
        return cloud_instance_state::leaving;
    if (name == "reclaimed" || name == "stopped")
        return cloud_instance_state::ended;
    throw std::runtime_error("unknown state of an instance: " + name);
}

cloud_instance to_instance(const boost::json::object& object)
{
    return {.id = instance_id(text_of(object, "id")),
            .machine_class = text_of(object, "class"),
            .domain = failure_domain_id(text_of(object, "failure_domain")),
            .kind = kind_of(object),
            .client_token = text_of(object, "client_token"),
            .state = state_of(object)};
}

} // namespace

std::string encode_start(const start_request& wanted)
{
    return boost::json::serialize(boost::json::object{{"class", wanted.machine_class},
                                                      {"failure_domain", wanted.domain.value()},
                                                      {"kind", to_string(wanted.kind)},
                                                      {"client_token", wanted.client_token}});
}

std::vector<cloud_offer> decode_offers(std::string_view body)
{
    std::vector<cloud_offer> result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("offers").as_array()) {
        const auto& object = item.as_object();
        result.push_back({.machine_class = text_of(object, "class"),
                          .domain = failure_domain_id(text_of(object, "failure_domain")),
                          .kind = kind_of(object),
                          .price_microcents_per_second =
                              object.at("price_microcents_per_second").to_number<std::uint64_t>(),
                          .capacity = object.at("capacity").to_number<std::uint32_t>()});
    }
    return result;
}

cloud_instance decode_cloud_instance(std::string_view body)
{
    return to_instance(boost::json::parse(body).as_object());
}

std::vector<cloud_instance> decode_cloud_instances(std::string_view body)
{
    std::vector<cloud_instance> result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("instances").as_array())
        result.push_back(to_instance(item.as_object()));
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
             .id = instance_id(text_of(object, "id")),
             .leaves_in = milliseconds(object.at("leaves_in_ms").to_number<std::int64_t>())});
    }
    return result;
}

std::string decode_error_name(std::string_view body)
{
    return text_of(boost::json::parse(body).as_object(), "error");
}

} // namespace siskinwharf::cloud
