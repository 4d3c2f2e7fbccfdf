#include "state_text.h"

#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace siskinwharf::forwarding {

namespace json = boost::json;

std::string encode_answer(const state_answer& answer)
{
    json::array endpoints;
    for (const auto& change : answer.list.entries)
        endpoints.push_back(
            json::object{{"id", change.id.value()}, {"text", change.text}, {"removed", change.is_removed}});
    return json::serialize(json::object{{"configuration_era", answer.versions.configuration.era},
                                        {"configuration", answer.configuration_text},
                                        {"list_version", answer.versions.list.version},
                                        {"list_era", answer.versions.list.era},
                                        {"whole_list", answer.list.is_whole_list},
                                        {"endpoints", std::move(endpoints)}});
}

state_answer decode_answer(const std::string& text)
{
    boost::system::error_code error;
    const auto parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        throw invalid_entry("the state is not a JSON object");
    try {
        const auto& state = parsed.as_object();
        const auto era_of = [&](std::string_view name) {
            // Missing in the state of a process of an older program version.
            const auto* era = state.if_contains(name);
            return era == nullptr ? 0 : era->to_number<std::uint64_t>();
        };
        state_answer result;
        result.configuration_text = state.at("configuration").as_string();
        result.versions.configuration.era = era_of("configuration_era");
        result.versions.list = {era_of("list_era"), state.at("list_version").to_number<std::uint64_t>()};
        result.list.is_whole_list = state.at("whole_list").as_bool();
        for (const auto& entry : state.at("endpoints").as_array())
            result.list.entries.push_back({endpoint_id(std::string(entry.at("id").as_string())),
                                           std::string(entry.at("text").as_string()),
                                           entry.at("removed").as_bool()});
        return result;
    } catch (const std::exception& failure) {
        // Boost.JSON throws different exception types for missing members and for type mismatches.
        throw invalid_entry(failure.what());
    }
}

std::string encode_query(shared_item item, const known_versions& own, std::uint64_t list_era)
{
    constexpr std::uint64_t newest = std::numeric_limits<std::int64_t>::max();
    const bool is_list = item == shared_item::endpoint_list;
    const auto configuration = is_list ? configuration_position{newest, 0} : own.configuration;
    const auto list = is_list ? own.list : store_position{list_era, newest};
    return fmt::format("configuration={}&configuration_era={}&list={}&era={}", configuration.version,
                       configuration.era, list.version, list.era);
}

} // namespace siskinwharf::forwarding
