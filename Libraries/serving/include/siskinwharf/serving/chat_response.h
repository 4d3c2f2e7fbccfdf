#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "siskinwharf/http/refusal.h"

namespace siskinwharf::serving {

/// Fields that every chunk of an answer repeats.
struct answer_identity {
    std::string id;
    std::string model;
    std::int64_t created_s = 0; ///< Seconds since the Unix epoch.
};

/// Renders tokens as server-sent events with OpenAI chat completion chunks. The `id:` line of an event holds
/// the offset of the next token, from which a caller can resume. `first_offset` is the offset of the first
/// element of `tokens`.
[[nodiscard]] std::string render_events(const answer_identity& identity, std::span<const std::string> tokens,
                                        std::uint64_t first_offset);
/// Renders the events that end a complete answer: the chunk with the finish reason and `[DONE]`.
[[nodiscard]] std::string render_end_events(const answer_identity& identity);
/// Renders the event that reports an error after the response header was sent.
[[nodiscard]] std::string render_error_event(const http::refusal& reason);
/// Renders a complete answer as an OpenAI chat completion object, for callers that do not stream.
[[nodiscard]] std::string render_completion(const answer_identity& identity,
                                            std::span<const std::string> tokens, std::uint64_t prompt_tokens);

} // namespace siskinwharf::serving
