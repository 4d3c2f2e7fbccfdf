#include "siskinwharf/serving/engine_protocol.h"

#include <array>

#include <boost/json.hpp>

namespace siskinwharf::serving {

std::optional<engine_event> parse_engine_line(std::string_view line)
{
    // The buffer holds a typical line, so that parsing allocates nothing but the token itself.
    std::array<unsigned char, 1024> buffer{};
    boost::json::monotonic_resource memory(buffer.data(), buffer.size());
    boost::system::error_code error;
    const auto document = boost::json::parse(line, error, &memory);
    if (error || !document.is_object())
        return std::nullopt;
    const auto& object = document.get_object();
    const auto* offset = object.if_contains("offset");
    if (offset == nullptr || !offset->is_int64() || offset->get_int64() < 0)
        return std::nullopt;
    const auto position = static_cast<std::uint64_t>(offset->get_int64());
    if (const auto* token = object.if_contains("token"); token != nullptr && token->is_string())
        return token_event{position, std::string(token->get_string())};
    if (const auto* done = object.if_contains("done"); done != nullptr && done->is_bool() && done->get_bool())
        return end_event{position};
    return std::nullopt;
}

std::string render_stream_request(const stream_request& request, const std::vector<std::string>& produced)
{
    boost::json::object body;
    body["stream_id"] = request.stream_id;
    body["attempt"] = request.attempt;
    body["model"] = request.model;
    body["version"] = request.version;
    body["prompt"] = request.prompt;
    body["produced"] = boost::json::array(produced.begin(), produced.end());
    body["max_tokens"] = request.max_tokens;
    body["priority"] = request.priority;
    return boost::json::serialize(body);
}

} // namespace siskinwharf::serving
