#include "engine_calls.h"

#include <utility>

#include <boost/json.hpp>

#include "request_key.h"

namespace siskinwharf::entry {

std::string stream_id_of(const request_spec& spec)
{
    return request_key(spec.account, spec.id);
}

http::address address_of(const routing::endpoint_info& endpoint)
{
    return {endpoint.address, endpoint.port};
}

http::request make_request(std::string method, std::string path, std::string query, std::string body)
{
    http::request message{std::move(method), std::move(path), std::move(query), {}, std::move(body)};
    if (!message.body.empty())
        message.headers.push_back({"Content-Type", "application/json"});
    return message;
}

std::string path_of_stream(const std::string& stream_id)
{
    return "/streams/" + http::percent_encode(stream_id);
}

http::request make_export(const std::string& stream_id)
{
    return make_request("POST", path_of_stream(stream_id) + "/export", "", "{}");
}

http::request make_import(const std::string& stream_id, std::uint32_t attempt, const std::string& kv,
                          std::uint64_t offset)
{
    boost::json::object body;
    body["stream_id"] = stream_id;
    body["attempt"] = attempt;
    body["kv"] = kv;
    body["offset"] = offset;
    return make_request("POST", "/streams/import", "", boost::json::serialize(body));
}

std::string exported_cache_of(const std::string& body)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(body, error);
    if (error || !document.is_object() || !document.get_object().contains("kv"))
        return {};
    const auto& cache = document.get_object().at("kv");
    return cache.is_string() ? std::string(cache.get_string()) : boost::json::serialize(cache);
}

} // namespace siskinwharf::entry
