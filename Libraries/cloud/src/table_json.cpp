#include "table_json.h"

#include <boost/json.hpp>

namespace siskinwharf::cloud {

namespace {

table_row to_row(const boost::json::object& object)
{
    return {.key = std::string(object.at("key").as_string()),
            .value = std::string(object.at("value").as_string()),
            .version = object.at("version").to_number<std::uint64_t>()};
}

/// Writes the condition of a write into its JSON object.
struct condition_writer {
    boost::json::object& target;

    void operator()(const require_absent&) const { target["require_absent"] = true; }
    void operator()(const require_version& condition) const { target["require_version"] = condition.version; }
    void operator()(const unconditional& /*condition*/) const {}
};

} // namespace

std::string encode_transaction(const table_transaction& transaction)
{
    boost::json::array writes;
    for (const auto& write : transaction.writes) {
        boost::json::object object;
        object["key"] = write.key;
        if (write.value)
            object["value"] = *write.value;
        std::visit(condition_writer{object}, write.condition);
        writes.push_back(std::move(object));
    }
    return boost::json::serialize(boost::json::object{{"writes", std::move(writes)}});
}

table_conflict decode_conflict(std::string_view body)
{
    table_conflict result;
    const auto document = boost::json::parse(body);
    for (const auto& item : document.as_object().at("conflicts").as_array()) {
        const auto& object = item.as_object();
        table_conflict_row row{.write_index = object.at("index").to_number<std::size_t>(), .current = {}};
        if (const auto& current = object.at("row"); !current.is_null())
            row.current = to_row(current.as_object());
        result.rows.push_back(std::move(row));
    }
    return result;
}

table_row decode_row(std::string_view body)
{
    return to_row(boost::json::parse(body).as_object());
}

} // namespace siskinwharf::cloud
