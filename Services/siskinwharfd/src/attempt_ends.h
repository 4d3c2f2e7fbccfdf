#pragma once

#include <string>
#include <string_view>

#include "siskinwharf/serving/next_step.h"

namespace siskinwharf::entry {

/// Maps the status and body of a refused stream to the end of the attempt.
[[nodiscard]] serving::attempt_end end_of_refusal(int status, const std::string& body);
/// Name of the end of an attempt, for logs.
[[nodiscard]] std::string_view to_text(serving::attempt_end end);

} // namespace siskinwharf::entry
