#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/base/time.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/server.h"
#include "siskinwharf/serving/chat_response.h"

namespace siskinwharf::entry {

/// Longest silence of a stream that is relayed.
inline constexpr milliseconds relay_timeout{10'000};

/// Writes the rest of an answer, from `offset` on, as events from an engine's stream, and ends the response.
/// The response header must have been sent. Throws `http::caller_disconnected` if the stream ends early, so
/// that the caller resumes.
boost::asio::awaitable<void> relay_engine_stream(http::line_stream& stream, serving::answer_identity identity,
                                                 std::uint64_t offset, http::response_writer& writer);

} // namespace siskinwharf::entry
