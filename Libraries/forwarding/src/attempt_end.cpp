#include "attempt_end.h"

namespace siskinwharf::forwarding {

std::string_view to_string(attempt_end end)
{
    switch (end) {
    case attempt_end::delivered:
        return "delivered";
    case attempt_end::aborted:
        return "aborted";
    case attempt_end::not_run:
        return "not_run";
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::failed:
        return "failed";
    case attempt_end::timed_out:
        return "timed_out";
    case attempt_end::given_up:
        return "given_up";
    case attempt_end::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

} // namespace siskinwharf::forwarding
