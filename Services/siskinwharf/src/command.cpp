#include "command.h"

#include <fstream>
#include <iterator>

#include "siskinwharf/settings/socket_address.h"

namespace siskinwharf::cli {

http::address parse_address(const std::string& text)
{
    const auto parsed = settings::parse_socket_address(text);
    if (!parsed)
        throw usage_error("'" + text + "' is not <ip>:<port>");
    return {parsed->ip, parsed->port};
}

std::vector<http::address> parse_addresses(const std::string& text)
{
    std::vector<http::address> result;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        result.push_back(parse_address(text.substr(start, end - start)));
        start = end + 1;
    }
    return result;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw usage_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace siskinwharf::cli
