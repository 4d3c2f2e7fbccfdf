#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "siskinwharf/serving/chat_request.h"
#include "siskinwharf/serving/chat_response.h"
#include "siskinwharf/serving/engine_protocol.h"

namespace siskinwharf::serving {

TEST_CASE("a chat request is parsed, and missing fields get their defaults")
{
    const auto request = parse_chat_request(
        R"({"model":"m","messages":[{"role":"system","content":"be brief"},
            {"role":"user","content":[{"type":"text","text":"plan dough"}]}],"temperature":0.2})");
    CHECK(request.model == model_id("m"));
    CHECK(request.prompt == "system: be brief\nuser: plan dough\n");
    CHECK(request.max_tokens == default_max_tokens);
    CHECK_FALSE(request.streaming);
}

TEST_CASE("an invalid body is rejected with the name of the field")
{
    const std::pair<const char*, const char*> rows[] = {
        {"{", "not JSON"},
        {"[]", "JSON object"},
        {R"({"messages":[]})", "model"},
        {R"({"model":1,"messages":[]})", "model"},
        {R"({"model":"m","messages":[]})", "messages"},
        {R"({"model":"m","messages":[1]})", "messages"},
        {R"({"model":"m","messages":[{"role":"user"}]})", "content"},
        {R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})", "not text"},
        {R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":0})", "max_tokens"},
        {R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":1e9})", "max_tokens"},
        {R"({"model":"m","messages":[{"role":"user","content":"a"}],"stream":"yes"})", "stream"},
        {R"({"model":"m","messages":[{"role":"user","content":"a"}],"n":2})", "'n'"},
        {"[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]", "not JSON"},
    };
    for (const auto& [body, expected] : rows) {
        INFO(body);
        CHECK_THROWS_WITH(parse_chat_request(body), Catch::Contains(expected));
    }
}

TEST_CASE("prompts with a common prefix share the hashes of its full blocks")
{
    const std::string common = "a b c d e f g h ";
    const auto left = prefix_hashes(common + "x y z w", 4);
    const auto right = prefix_hashes(common + "p q r s", 4);
    REQUIRE(left.size() == 3);
    REQUIRE(right.size() == 3);
    CHECK(left[0] == right[0]);
    CHECK(left[1] == right[1]);
    CHECK(left[2] != right[2]);
    CHECK(count_tokens("  one two\nthree ") == 3);
}

TEST_CASE("the concatenated content of the events equals the content of the completion")
{
    const answer_identity identity{"r-1", "m", 7};
    const std::vector<std::string> tokens{"t1", "t\"2\"", "t3"};
    const auto whole = boost::json::parse(render_completion(identity, tokens, 5)).as_object();
    const auto content = whole.at("choices").as_array().at(0).at("message").at("content").as_string();
    std::string joined;
    std::string events = render_events(identity, std::span(tokens).first(2), 0);
    events += render_events(identity, std::span(tokens).subspan(2), 2);
    for (std::size_t start = events.find("data: "); start != std::string::npos;
         start = events.find("data: ", start + 1)) {
        const auto line = events.substr(start + 6, events.find('\n', start) - start - 6);
        const auto event = boost::json::parse(line);
        joined += event.at("choices").as_array().at(0).at("delta").at("content").as_string().c_str();
    }
    CHECK(joined == std::string(content));
    CHECK(events.find("id: 3\n") != std::string::npos);
    CHECK(whole.at("usage").at("total_tokens").to_number<int>() == 8);
}

TEST_CASE("engine lines are parsed, and malformed lines are ignored")
{
    const auto token = parse_engine_line(R"({"offset":4,"token":"t9"})");
    REQUIRE(token.has_value());
    CHECK(std::get<token_event>(*token).offset == 4);
    const auto end = parse_engine_line(R"({"done":true,"offset":9})");
    REQUIRE(end.has_value());
    CHECK(std::get<end_event>(*end).offset == 9);
    for (const auto* line :
         {"", "{", "[]", R"({"offset":-1,"token":"t"})", R"({"token":"t"})", R"({"offset":1})"})
        CHECK_FALSE(parse_engine_line(line).has_value());
}

} // namespace siskinwharf::serving
