#include "siskinwharf/claims/claim_row.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/json.hpp>

#include "siskinwharf/base/digest.h"

namespace siskinwharf::claims {

namespace {

namespace json = boost::json;

constexpr int row_format_version = 1;
constexpr std::size_t maximum_content_type_bytes = 256;

constexpr std::array<std::pair<claim_state, std::string_view>, 4> state_names{{
    {claim_state::held, "held"},
    {claim_state::abandoned, "void"},
    {claim_state::done, "done"},
    {claim_state::unknown, "unknown"},
}};

bool is_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return static_cast<unsigned char>(byte) < 0x80; });
}

unsigned hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f')
        return static_cast<unsigned>(digit - 'a') + 10;
    throw claim_row_error("body_hex has a character that is not a hexadecimal digit");
}

std::string from_hex(std::string_view digits)
{
    if (digits.size() % 2 != 0)
        throw claim_row_error("body_hex has an odd number of digits");
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t index = 0; index < digits.size(); index += 2)
        bytes.push_back(static_cast<char>(hex_value(digits[index]) * 16 + hex_value(digits[index + 1])));
    return bytes;
}

std::string text_field(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        throw claim_row_error("field " + std::string(name) + " is missing or not a string");
    return std::string(value->get_string());
}

template<typename Number>
Number number_field(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    json::error_code error;
    const Number number = value == nullptr ? Number{} : value->to_number<Number>(error);
    if (value == nullptr || error)
        throw claim_row_error("field " + std::string(name) + " is missing or not a number in range");
    return number;
}

json::object encode_response(const stored_response& response)
{
    json::object object{
        {"status", response.status}, {"content_type", response.content_type}, {"digest", response.digest}};
    // JSON strings must be valid UTF-8, but a body can contain any bytes.
    if (response.body && is_ascii(*response.body))
        object["body"] = *response.body;
    else if (response.body)
        object["body_hex"] = to_hex(*response.body);
    return object;
}

stored_response decode_response(const json::object& object)
{
    stored_response response{number_field<unsigned>(object, "status"), text_field(object, "content_type"),
                             text_field(object, "digest"), std::nullopt};
    if (object.contains("body"))
        response.body = text_field(object, "body");
    else if (object.contains("body_hex"))
        response.body = from_hex(text_field(object, "body_hex"));
    return response;
}

claim_state decode_state(std::string_view name)
{
    for (const auto& [state, state_name] : state_names) {
        if (state_name == name)
            return state;
    }
    throw claim_row_error("field state has an unknown value");
}

} // namespace

stored_response make_stored_response(unsigned status, std::string content_type, std::string body)
{
    stored_response response{status, std::move(content_type), sha256_hex(body), std::nullopt};
    if (response.content_type.size() > maximum_content_type_bytes || !is_ascii(response.content_type))
        response.content_type.clear();
    if (body.size() <= maximum_stored_body)
        response.body = std::move(body);
    return response;
}

std::string encode_claim_row(const claim_row& row)
{
    const auto* name = std::find_if(state_names.begin(), state_names.end(),
                                    [&](const auto& entry) { return entry.first == row.state; });
    json::object object{{"v", row_format_version},
                        {"state", name->second},
                        {"attempt", row.attempt},
                        {"holder", row.holder},
                        {"request_digest", row.request_digest}};
    if (row.response)
        object["response"] = encode_response(*row.response);
    return json::serialize(object);
}

claim_row decode_claim_row(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
        throw claim_row_error("the row is not a JSON object");
    const json::object& object = value.get_object();
    if (number_field<int>(object, "v") != row_format_version)
        throw claim_row_error("the row has an unknown format version");
    claim_row row{decode_state(text_field(object, "state")), number_field<attempt_number>(object, "attempt"),
                  text_field(object, "holder"), text_field(object, "request_digest"), std::nullopt};
    if (const auto* response = object.if_contains("response"); response != nullptr && response->is_object())
        row.response = decode_response(response->get_object());
    if (row.state == claim_state::done && !row.response)
        throw claim_row_error("a row in state done has no response");
    return row;
}

} // namespace siskinwharf::claims
