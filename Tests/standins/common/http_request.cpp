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

bool http_request::matches(std::string_view wanted_method, std::string_view pattern) const
{
    if (method != wanted_method)
        return false;
    for (const std::string& segment : segments) {
        if (pattern.empty())
            return false;
        pattern.remove_prefix(1); // The slash.
        const std::string_view wanted = pattern.substr(0, pattern.find('/'));
        if (wanted != "*" && wanted != segment)
            return false;
        pattern.remove_prefix(wanted.size());
    }
    return pattern.empty();
}

} // namespace siskinwharf::standins
