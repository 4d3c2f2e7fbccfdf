#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "siskinwharf/http/refusal.h"

namespace siskinwharf::serving {

/// What every part of an answer repeats.
struct answer_identity {
    std::string id;
    std::string model;
    std::int64_t created_s = 0; ///< Seconds since the epoch.
};

/// Renders tokens as server-sent events in the form of OpenAI chat completion chunks. The `id:` line of an
/// event holds the offset after its token, from which a caller resumes. The first token of `tokens` has
/// offset `first_offset`.
[[nodiscard]] std::string render_events(const answer_identity& identity, std::span<const std::string> tokens,
                                        std::uint64_t first_offset);
/// Renders the last events of a whole answer.
[[nodiscard]] std::string render_end_events(const answer_identity& identity);
/// Renders the event of an error after the response header was sent.
[[nodiscard]] std::string render_error_event(const http::refusal& reason);
/// Renders a whole answer as an OpenAI chat completion.
[[nodiscard]] std::string render_completion(const answer_identity& identity,
                                            std::span<const std::string> tokens, std::uint64_t prompt_tokens);

} // namespace siskinwharf::serving
