#pragma once

#include <string_view>

namespace siskinwharf {

/// What a refusal tells the caller about the request it refuses.
enum class outcome {
    not_run, ///< The request did not run and will not run.
    done,    ///< The request ran to its end.
    unknown, ///< The request may have run.
};

[[nodiscard]] constexpr std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::not_run:
        return "not_run";
    case outcome::done:
        return "done";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace siskinwharf
