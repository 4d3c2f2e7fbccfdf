#include "siskinwharf/serving/chat_request.h"

#include <boost/json.hpp>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::serving {

namespace {

const boost::json::value& member(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr)
        throw chat_request_error("field '" + std::string(name) + "' is missing");
    return *value;
}

std::string_view text_member(const boost::json::object& object, std::string_view name)
{
    const auto& value = member(object, name);
    if (!value.is_string())
        throw chat_request_error("field '" + std::string(name) + "' must be a string");
    return value.get_string();
}

/// Returns the content of a message, which is a string or a list of text parts.
std::string content_of(const boost::json::object& message)
{
    const auto& content = member(message, "content");
    if (content.is_string())
        return std::string(content.get_string());
    if (!content.is_array())
        throw chat_request_error("field 'content' must be a string or a list of text parts");
    std::string result;
    for (const auto& part : content.get_array()) {
        if (!part.is_object() || text_member(part.get_object(), "type") != "text")
            throw chat_request_error("field 'content' holds a part that is not text");
        result += text_member(part.get_object(), "text");
    }
    return result;
}

std::uint32_t max_tokens_of(const boost::json::object& body)
{
    const auto* value = body.if_contains("max_completion_tokens");
    if (value == nullptr)
        value = body.if_contains("max_tokens");
    if (value == nullptr || value->is_null())
        return default_max_tokens;
    if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > max_tokens_limit)
        throw chat_request_error("field 'max_tokens' must be an integer from 1 to " +
                                 std::to_string(max_tokens_limit));
    return static_cast<std::uint32_t>(value->get_int64());
}

bool is_space(char character)
{
    return character == ' ' || character == '\n' || character == '\t' || character == '\r';
}

/// Calls `visit` with the position after the last character of each word.
template<typename Visitor>
void for_each_word(std::string_view text, Visitor visit)
{
    bool in_word = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool space = is_space(text[index]);
        if (in_word && space)
            visit(index);
        in_word = !space;
    }
    if (in_word)
        visit(text.size());
}

} // namespace

chat_request parse_chat_request(std::string_view body)
{
    boost::system::error_code error;
    boost::json::parse_options options;
    options.max_depth = 8;
    const auto document = boost::json::parse(body, error, {}, options);
    if (error)
        throw chat_request_error("the body is not JSON: " + error.message());
    if (!document.is_object())
        throw chat_request_error("the body must be a JSON object");
    const auto& object = document.get_object();
    chat_request result;
    result.model = model_id(std::string(text_member(object, "model")));
    const auto& messages = member(object, "messages");
    if (!messages.is_array() || messages.get_array().empty())
        throw chat_request_error("field 'messages' must be a list with at least one message");
    for (const auto& message : messages.get_array()) {
        if (!message.is_object())
            throw chat_request_error("field 'messages' must hold objects");
        append_message(result.prompt, text_member(message.get_object(), "role"),
                       content_of(message.get_object()));
    }
    result.max_tokens = max_tokens_of(object);
    if (const auto* stream = object.if_contains("stream"); stream != nullptr && !stream->is_null()) {
        if (!stream->is_bool())
            throw chat_request_error("field 'stream' must be true or false");
        result.streaming = stream->get_bool();
    }
    if (const auto* count = object.if_contains("n");
        count != nullptr && !count->is_null() && (!count->is_int64() || count->get_int64() != 1))
        throw chat_request_error("field 'n' must be 1");
    return result;
}

void append_message(std::string& prompt, std::string_view role, std::string_view content)
{
    prompt.append(role).append(": ").append(content).push_back('\n');
}

std::uint32_t count_tokens(std::string_view text)
{
    std::uint32_t count = 0;
    for_each_word(text, [&](std::size_t) { ++count; });
    return count;
}

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt, std::uint32_t tokens_per_block)
{
    std::vector<std::uint64_t> result;
    std::uint32_t words = 0;
    std::size_t block_start = 0;
    std::uint64_t prefix_hash = 0;
    for_each_word(prompt, [&](std::size_t end) {
        if (++words % tokens_per_block != 0)
            return;
        prefix_hash = combine64(prefix_hash, hash64(prompt.substr(block_start, end - block_start)));
        result.push_back(prefix_hash);
        block_start = end;
    });
    return result;
}

} // namespace siskinwharf::serving
