#include "runner_refusals.h"

namespace siskinwharf::entry {

http::refusal refusal_for(routing::no_endpoint reason, outcome result)
{
    switch (reason) {
    case routing::no_endpoint::all_full:
        return {http::refusal_type::overloaded, "every endpoint of the model is busy", result,
                milliseconds(1'000)};
    case routing::no_endpoint::target_cannot_be_met:
        return {http::refusal_type::deadline_unreachable, "the latency target cannot be met now", result,
                milliseconds(1'000)};
    case routing::no_endpoint::all_leaving:
    case routing::no_endpoint::no_endpoint_for_target:
        break;
    }
    return {http::refusal_type::no_endpoint, "no endpoint serves the model now", result, milliseconds(2'000)};
}

http::refusal failure_for(serving::give_up_reason reason, outcome result)
{
    switch (reason) {
    case serving::give_up_reason::deadline_exceeded:
        return {http::refusal_type::deadline_exceeded, "the deadline has passed", result};
    case serving::give_up_reason::attempts_exhausted:
        return {http::refusal_type::endpoint_failed, "no endpoint took the request", result,
                milliseconds(1'000)};
    case serving::give_up_reason::rejected:
        break;
    }
    return {http::refusal_type::malformed, "the endpoint rejects the request", result};
}

} // namespace siskinwharf::entry
