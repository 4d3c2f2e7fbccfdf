#include "engine_relay.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/serving/token_line.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

asio::awaitable<void> relay_engine_stream(http::line_stream& stream, serving::answer_identity identity,
                                          std::uint64_t offset, http::response_writer& writer)
{
    std::optional<std::uint64_t> end;
    try {
        while (!end || offset < *end) {
            const auto lines = co_await stream.next_lines(relay_timeout);
            if (lines.empty())
                break;
            std::vector<std::string> tokens;
            std::string_view rest = lines;
            while (!rest.empty()) {
                const auto length = std::min(rest.find('\n'), rest.size());
                auto event = serving::parse_engine_line(rest.substr(0, length));
                rest = rest.substr(std::min(length + 1, rest.size()));
                if (auto* token = event ? std::get_if<serving::token_event>(&*event) : nullptr) {
                    if (token->offset == offset + tokens.size())
                        tokens.push_back(std::move(token->token));
                } else if (event) {
                    end = std::get<serving::end_event>(*event).offset;
                }
            }
            auto events = serving::render_events(identity, tokens, offset);
            offset += tokens.size();
            co_await writer.write(std::move(events));
        }
    } catch (const http::call_error& error) {
        throw http::caller_disconnected(error.what());
    }
    if (!end || offset < *end)
        throw http::caller_disconnected("the stream of the engine ended early");
    co_await writer.write(serving::render_end_events(identity));
    co_await writer.finish();
}

} // namespace siskinwharf::entry
