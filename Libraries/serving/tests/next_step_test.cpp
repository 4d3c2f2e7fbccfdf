#include <catch2/catch.hpp>

#include "siskinwharf/serving/next_step.h"

namespace siskinwharf::serving {

namespace {

constexpr monotonic_time now{seconds(100)};
constexpr monotonic_time later{seconds(130)};

} // namespace

TEST_CASE("each end of an attempt leads to the correct next step")
{
    struct row {
        const char* guards_against;
        attempt_end end;
        attempt_history history;
        next_step expected;
    };
    const row rows[] = {
        {"a complete answer that is not delivered",
         attempt_end::completed,
         {1, 0, true, later},
         deliver_end{}},
        {"a complete answer that is discarded because it is late",
         attempt_end::completed,
         {1, 0, true, now},
         deliver_end{}},
        {"retry budget spent on a draining endpoint",
         attempt_end::refused_leaving,
         {1, 0, false, later},
         continue_elsewhere{false, false, true}},
        {"a retry storm on full endpoints",
         attempt_end::refused_full,
         {1, 0, false, later},
         continue_elsewhere{true, false, true}},
        {"a broken connection that counts as a crash",
         attempt_end::connection_lost,
         {1, 0, true, later},
         resume_stream{milliseconds(0)}},
        {"a resume loop without a pause",
         attempt_end::connection_lost,
         {1, 1, true, later},
         resume_stream{resume_pause}},
        {"an endless resume loop",
         attempt_end::connection_lost,
         {1, maximum_resumes_without_progress, true, later},
         continue_elsewhere{false, false, true}},
        {"a frozen endpoint that counts as a crash",
         attempt_end::endpoint_stalled,
         {1, 0, true, later},
         continue_elsewhere{false, false, true}},
        {"an endpoint excluded for a request that it never received",
         attempt_end::stream_missing,
         {1, 0, false, later},
         continue_elsewhere{false, false, false}},
        {"a crash that is not counted",
         attempt_end::endpoint_lost,
         {1, 0, true, later},
         continue_elsewhere{false, true, true}},
        {"a retry of an unaccepted request outside the budget",
         attempt_end::endpoint_lost,
         {1, 0, false, later},
         continue_elsewhere{true, true, true}},
        {"an accepted request that is dropped after many attempts",
         attempt_end::endpoint_lost,
         {maximum_attempts_before_acceptance, 0, true, later},
         continue_elsewhere{false, true, true}},
        {"an unaccepted request that is retried forever",
         attempt_end::unreachable,
         {maximum_attempts_before_acceptance, 0, false, later},
         give_up_reason::attempts_exhausted},
        {"work after the deadline",
         attempt_end::unreachable,
         {1, 0, true, now},
         give_up_reason::deadline_exceeded},
        {"an invalid request that is sent to every endpoint",
         attempt_end::rejected,
         {1, 0, false, later},
         give_up_reason::rejected},
        {"an accepted stream that is given up because another process moved it",
         attempt_end::stream_known,
         {2, 0, true, later},
         resume_stream{milliseconds(0)}},
        {"an endless resume loop for a stream that another process moved",
         attempt_end::stream_known,
         {2, maximum_resumes_without_progress, true, later},
         continue_elsewhere{false, false, true}},
        {"the answer of another request with the same id",
         attempt_end::stream_known,
         {1, 0, false, later},
         give_up_reason::rejected},
        {"a moved stream that counts as a crash",
         attempt_end::move_requested,
         {1, 0, true, later},
         continue_elsewhere{false, false, true}},
    };
    for (const auto& [guards_against, end, history, expected] : rows) {
        INFO(guards_against);
        CHECK((decide_next_step(end, history, now) == expected));
    }
}

} // namespace siskinwharf::serving
