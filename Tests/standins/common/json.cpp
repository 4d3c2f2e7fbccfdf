#include "json.h"

#include <utility>

namespace siskinwharf::standins {

namespace json = boost::json;

namespace {

const json::value* find_member(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    return found == nullptr || found->is_null() ? nullptr : found;
}

[[noreturn]] void throw_wrong_type(std::string_view name, std::string_view wanted)
{
    throw bad_request("member " + std::string(name) + " is not " + std::string(wanted));
}

} // namespace

json::object parse_object(std::string_view text)
{
    if (text.empty())
        return {};
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        throw bad_request("the body is not a JSON object");
    return std::move(value.as_object());
}

std::string string_member(const json::object& object, std::string_view name, std::string otherwise)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return otherwise;
    if (!member->is_string())
        throw_wrong_type(name, "a string");
    return std::string(member->as_string());
}

std::int64_t integer_member(const json::object& object, std::string_view name, std::int64_t otherwise)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return otherwise;
    boost::system::error_code error;
    const auto value = member->to_number<std::int64_t>(error);
    if (error)
        throw_wrong_type(name, "an integer");
    return value;
}

double number_member(const json::object& object, std::string_view name, double otherwise)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return otherwise;
    boost::system::error_code error;
    const auto value = member->to_number<double>(error);
    if (error)
        throw_wrong_type(name, "a number");
    return value;
}

bool boolean_member(const json::object& object, std::string_view name, bool otherwise)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return otherwise;
    if (!member->is_bool())
        throw_wrong_type(name, "a boolean");
    return member->as_bool();
}

json::array array_member(const json::object& object, std::string_view name)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return {};
    if (!member->is_array())
        throw_wrong_type(name, "an array");
    return member->as_array();
}

std::vector<std::string> strings_member(const json::object& object, std::string_view name)
{
    std::vector<std::string> strings;
    for (const json::value& item : array_member(object, name)) {
        if (!item.is_string())
            throw_wrong_type(name, "an array of strings");
        strings.emplace_back(item.as_string());
    }
    return strings;
}

std::vector<json::object> objects_member(const json::object& object, std::string_view name)
{
    std::vector<json::object> objects;
    for (const json::value& item : array_member(object, name)) {
        if (!item.is_object())
            throw_wrong_type(name, "an array of objects");
        objects.push_back(item.as_object());
    }
    return objects;
}

json::object object_member(const json::object& object, std::string_view name)
{
    const json::value* member = find_member(object, name);
    if (member == nullptr)
        return {};
    if (!member->is_object())
        throw_wrong_type(name, "an object");
    return member->as_object();
}

http_response json_response(unsigned status, const json::value& body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

http_response error_response(unsigned status, std::string_view type)
{
    return json_response(status, json::object{{"error", type}});
}

} // namespace siskinwharf::standins
