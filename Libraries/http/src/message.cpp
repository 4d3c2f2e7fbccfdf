#include "siskinwharf/http/message.h"

#include <algorithm>
#include <cctype>

namespace siskinwharf::http {

namespace {

std::optional<std::string_view> find(const std::vector<header_field>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::optional<unsigned> hex_digit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

std::string percent_decode(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            const auto high = hex_digit(text[index + 1]);
            const auto low = hex_digit(text[index + 2]);
            if (high && low) {
                result.push_back(static_cast<char>(*high * 16 + *low));
                index += 2;
                continue;
            }
        }
        result.push_back(text[index] == '+' ? ' ' : text[index]);
    }
    return result;
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(
        left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string request::target() const
{
    if (query.empty() && !has_empty_query)
        return path;
    return path + "?" + query;
}

std::optional<std::string_view> request::find_header(std::string_view name) const
{
    return find(headers, name);
}

std::optional<std::string_view> response::find_header(std::string_view name) const
{
    return find(headers, name);
}

std::optional<std::string> request::find_parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        return equals == std::string_view::npos ? std::string{} : percent_decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

response json_response(int status, std::string body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = std::move(body)};
}

std::string percent_encode(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char byte : value) {
        const auto code = static_cast<unsigned char>(byte);
        if (std::isalnum(code) != 0 || byte == '-' || byte == '.' || byte == '_' || byte == '~') {
            result.push_back(byte);
            continue;
        }
        result.push_back('%');
        result.push_back(digits[code >> 4U]);
        result.push_back(digits[code & 0xFU]);
    }
    return result;
}

} // namespace siskinwharf::http
