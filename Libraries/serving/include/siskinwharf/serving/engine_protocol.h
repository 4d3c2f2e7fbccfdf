#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace siskinwharf::serving {

/// `{"offset":n,"token":"..."}`
struct token_event {
    std::uint64_t offset = 0;
    std::string token;
};

/// `{"done":true,"offset":n}`: the answer ends before this offset.
struct end_event {
    std::uint64_t offset = 0;
};

using engine_event = std::variant<token_event, end_event>;

/// Reads one line of an engine's stream. Returns nothing for a line of another form.
[[nodiscard]] std::optional<engine_event> parse_engine_line(std::string_view line);

/// Calls the visitor with each event of some whole lines of an engine's stream, in order.
template<typename Visitor>
void visit_engine_lines(std::string_view lines, Visitor visitor)
{
    while (!lines.empty()) {
        const auto length = std::min(lines.find('\n'), lines.size());
        if (auto event = parse_engine_line(lines.substr(0, length)))
            std::visit(visitor, std::move(*event));
        lines = lines.substr(std::min(length + 1, lines.size()));
    }
}

/// Body of `POST /streams`.
struct stream_request {
    std::string stream_id;
    std::uint32_t attempt = 0;
    std::string model;
    std::string version;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0;
};

/// Renders the body of `POST /streams` with the tokens that were produced elsewhere.
[[nodiscard]] std::string render_stream_request(const stream_request& order,
                                                const std::vector<std::string>& produced);

} // namespace siskinwharf::serving
