#include <boost/system/system_error.hpp>

#include "instance_json.h"
#include "siskinwharf/cloud/http_platform.h"

namespace siskinwharf::cloud {

http_instance_list::http_instance_list(http::client& client, platform_access access)
    : m_client(client), m_access(std::move(access))
{
}

boost::asio::awaitable<list_result> http_instance_list::read(std::string known_tag)
{
    http::request message{"GET", "/instances", "", {}, ""};
    message.headers.push_back({"Siskinwharf-Instance", m_access.instance});
    if (!known_tag.empty())
        message.headers.push_back({"If-None-Match", std::move(known_tag)});
    try {
        const auto answer = co_await m_client.call(m_access.target, std::move(message), m_access.timeout);
        if (answer.status == 304)
            co_return list_unchanged{};
        if (answer.status != 200)
            co_return list_unavailable{};
        const auto tag = answer.find_header("ETag");
        co_return listed_instances{decode_instances(answer.body), std::string(tag.value_or(""))};
    } catch (const http::call_error&) {
        co_return list_unavailable{};
    } catch (const std::exception&) {
        // boost::json throws exceptions of several types for a malformed body.
        co_return list_unavailable{};
    }
}

} // namespace siskinwharf::cloud
