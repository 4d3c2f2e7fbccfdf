#include "siskinwharf/serving/chat_response.h"

#include <iterator>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace siskinwharf::serving {

namespace {

std::string to_json_string(std::string_view text)
{
    return boost::json::serialize(boost::json::value(text));
}

/// Returns the text that a token adds to the answer. Tokens are words, so all but the first get a leading
/// space.
std::string content_of(const std::string& token, std::uint64_t offset)
{
    return offset == 0 ? token : " " + token;
}

std::string chunk_prefix(const answer_identity& identity)
{
    return fmt::format(
        R"({{"id":{},"object":"chat.completion.chunk","created":{},"model":{},"choices":[{{"index":0,)",
        to_json_string(identity.id), identity.created_s, to_json_string(identity.model));
}

} // namespace

std::string render_events(const answer_identity& identity, std::span<const std::string> tokens,
                          std::uint64_t first_offset)
{
    const std::string prefix = chunk_prefix(identity);
    std::string result;
    std::uint64_t offset = first_offset;
    for (const auto& token : tokens) {
        const std::string_view role = offset == 0 ? R"("role":"assistant",)" : "";
        fmt::format_to(std::back_inserter(result),
                       "id: {}\ndata: {}\"delta\":{{{}\"content\":{}}},\"finish_reason\":null}}]}}\n\n",
                       offset + 1, prefix, role, to_json_string(content_of(token, offset)));
        ++offset;
    }
    return result;
}

std::string render_end_events(const answer_identity& identity)
{
    return "data: " + chunk_prefix(identity) +
           "\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
}

std::string render_error_event(const http::refusal& reason)
{
    return "data: " + http::to_json(reason) + "\n\n";
}

std::string render_completion(const answer_identity& identity, std::span<const std::string> tokens,
                              std::uint64_t prompt_tokens)
{
    std::string content;
    for (std::size_t index = 0; index < tokens.size(); ++index)
        content += content_of(tokens[index], index);
    return fmt::format(
        R"({{"id":{},"object":"chat.completion","created":{},"model":{},"choices":[{{"index":0,"message":)"
        R"({{"role":"assistant","content":{}}},"finish_reason":"stop"}}],"usage":{{"prompt_tokens":{},)"
        R"("completion_tokens":{},"total_tokens":{}}}}})",
        to_json_string(identity.id), identity.created_s, to_json_string(identity.model),
        to_json_string(content), prompt_tokens, tokens.size(), prompt_tokens + tokens.size());
}

} // namespace siskinwharf::serving
