#pragma once

#include "siskinwharf/base/outcome.h"
#include "siskinwharf/http/refusal.h"
#include "siskinwharf/routing/routing_request.h"
#include "siskinwharf/serving/next_step.h"

namespace siskinwharf::entry {

/// The refusal of a model request for which no endpoint was chosen.
[[nodiscard]] http::refusal refusal_for(routing::no_endpoint reason, outcome result);
/// The refusal of a model request that is given up after an attempt.
[[nodiscard]] http::refusal failure_for(serving::give_up_reason reason, outcome result);

} // namespace siskinwharf::entry
