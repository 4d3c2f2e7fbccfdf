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

/// A token of the answer, sent as `{"offset":n,"token":"..."}`.
struct token_event {
    std::uint64_t offset = 0;
    std::string token;
};

/// The end of the answer, sent as `{"done":true,"offset":n}`. The answer ends before this offset.
struct end_event {
    std::uint64_t offset = 0;
};

/// One line of an engine's stream.
using engine_event = std::variant<token_event, end_event>;

/// Parses one line of an engine's stream. Returns nothing if the line is malformed or of another kind.
[[nodiscard]] std::optional<engine_event> parse_engine_line(std::string_view line);

/// Calls the visitor for each event in `lines`, in order. `lines` holds only complete lines of an engine's
/// stream; malformed ones are skipped.
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

/// The body of `POST /streams`, which starts a stream on an engine.
struct stream_request {
    std::string stream_id;
    std::uint32_t attempt = 0;
    std::string model;
    std::string version;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0;
};

/// Renders the body of `POST /streams`. `produced` holds the tokens that earlier attempts produced; the
/// engine continues after them.
[[nodiscard]] std::string render_stream_request(const stream_request& request,
                                                const std::vector<std::string>& produced);

} // namespace siskinwharf::serving
