// Prints how many claim writes per second a table with 300 transactions/s can handle, in virtual time.
#include <fmt/format.h>

#include "batch_simulation.h"

namespace {

using namespace siskinwharf;
using namespace siskinwharf::claims;

void print_rows(unsigned processes, std::size_t in_flight, milliseconds age)
{
    for (const double offered : {1000.0, 3000.0, 6000.0, 9000.0, 12000.0, 15000.0}) {
        batch_limits limits;
        limits.maximum_in_flight = in_flight;
        limits.maximum_age = age;
        batch_load load;
        load.processes = processes;
        load.writes_per_second = offered;
        const auto results = simulate_batches(load, limits);
        fmt::print("{:9}  {:9}  {:6}  {:9}  {:9.0f}  {:14.0f}  {:7}  {:11}\n", processes, in_flight,
                   age.count(), offered, results.completed_per_second,
                   static_cast<double>(results.transactions) / static_cast<double>(load.duration.count()),
                   results.refused, results.wait_p95.count());
    }
}

} // namespace

int main()
{
    fmt::print("processes  in flight  age ms  offered/s  carried/s  transactions/s  refused  p95 wait ms\n");
    const auto age = batch_limits{}.maximum_age;
    for (const unsigned processes : {9U, 26U, 370U}) {
        for (const std::size_t in_flight : {std::size_t{1}, std::size_t{2}, std::size_t{4}})
            print_rows(processes, in_flight, age);
    }
    // With one committer in each of 26 failure domains, each has 300 / 26 transactions/s, or one every 87 ms.
    for (const milliseconds longer : {milliseconds(60), milliseconds(90), milliseconds(120)})
        print_rows(26, batch_limits{}.maximum_in_flight, longer);
}
