#include "http_exchange.h"

#include <charconv>

namespace siskinwharf::standins {

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::uint64_t http_request::query_number(const std::string& name, std::uint64_t otherwise) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return otherwise;
    const std::string& text = found->second;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw bad_request("query parameter " + name + " is not an unsigned number: " + text);
    return value;
}

bool http_request::matches(std::string_view wanted_method,
                           std::initializer_list<std::string_view> wanted_segments) const
{
    if (method != wanted_method || segments.size() != wanted_segments.size())
        return false;
    std::size_t index = 0;
    for (const std::string_view wanted : wanted_segments) {
        if (wanted != "*" && wanted != segments[index])
            return false;
        ++index;
    }
    return true;
}

} // namespace siskinwharf::standins
