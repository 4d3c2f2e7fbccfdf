// Measures the time of a routing decision for different numbers of replicas and threads.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "siskinwharf/base/hash.h"
#include "siskinwharf/routing/router.h"

namespace {

using namespace siskinwharf;
using namespace siskinwharf::routing;

constexpr std::size_t decisions_per_thread = 200'000;
constexpr std::size_t streams_held_per_thread = 400; ///< Streams in flight.
constexpr std::size_t replicas_in_domain = 88;

struct timings {
    double cpu_ns = 0;
    double p50_ns = 0;
    double p99_ns = 0;
};

/// Replicas in failure domains of 88, four domains per region, or all in one domain.
std::vector<endpoint_info> make_endpoints(std::size_t replicas, bool one_domain)
{
    std::vector<endpoint_info> endpoints;
    endpoints.reserve(replicas);
    for (std::size_t number = 0; number < replicas; ++number) {
        const auto domain = one_domain ? 0 : number / replicas_in_domain;
        endpoint_info info;
        info.id = endpoint_id("endpoint-" + std::to_string(number));
        info.domain = failure_domain_id("domain-" + std::to_string(domain));
        info.region = region_id("region-" + std::to_string(domain / 4));
        info.serves = model_target{model_id("dough-7b"), "3"};
        info.capacity = 64;
        info.cost = price_per_token{10};
        endpoints.push_back(std::move(info));
    }
    return endpoints;
}

routing_request make_request()
{
    routing_request request;
    request.account = account_id("cartline-web");
    request.serves = model_target{model_id("dough-7b"), "3"};
    request.region = region_id("region-0");
    request.domain = failure_domain_id("domain-0");
    request.prefix_hashes.resize(16);
    request.prompt_tokens = 1024;
    request.output_tokens = 300;
    request.first_token_target = milliseconds(840);
    return request;
}

/// Sets the prefix hashes to one of 500 conversations of 16 blocks. All share the first two blocks.
void set_prefix(routing_request& request, std::uint64_t number)
{
    std::uint64_t hash = 17;
    for (std::size_t block = 0; block < request.prefix_hashes.size(); ++block) {
        hash = combine64(hash, block < 2 ? block : number % 500);
        request.prefix_hashes[block] = hash;
    }
}

double thread_cpu_ns()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

struct thread_result {
    double cpu_ns = 0;           ///< CPU time of a decision and the release of an older slot.
    std::vector<double> samples; ///< Wall time of each decision, in nanoseconds.
};

thread_result run_thread(router& routes, std::size_t thread)
{
    std::vector<routing_request> requests(512, make_request());
    for (std::size_t number = 0; number < requests.size(); ++number)
        set_prefix(requests[number], mix64(number * 64 + thread));
    std::vector<routing_decision> held(streams_held_per_thread);
    thread_result result;
    result.samples.reserve(decisions_per_thread);
    const monotonic_time start(seconds(1000));
    const double cpu_before = thread_cpu_ns();
    for (std::size_t count = 0; count < decisions_per_thread; ++count)
        held[count % held.size()] =
            routes.choose(requests[count % requests.size()], start + microseconds(count * 50));
    result.cpu_ns = (thread_cpu_ns() - cpu_before) / decisions_per_thread;
    for (std::size_t count = 0; count < decisions_per_thread; ++count) {
        const auto now = start + microseconds((decisions_per_thread + count) * 50);
        const auto begin = std::chrono::steady_clock::now();
        auto decision = routes.choose(requests[count % requests.size()], now);
        const auto end = std::chrono::steady_clock::now();
        result.samples.push_back(std::chrono::duration<double, std::nano>(end - begin).count());
        held[count % held.size()] = std::move(decision);
    }
    return result;
}

timings measure(const routing_policy& policy, std::size_t replicas, bool one_domain, std::size_t threads)
{
    routing_table table;
    table.publish({make_endpoints(replicas, one_domain), {}, {}});
    routing_options options;
    options.policy = policy;
    router routes(table, options);
    std::vector<thread_result> results(threads);
    std::vector<std::thread> running;
    running.reserve(threads);
    for (std::size_t thread = 0; thread < threads; ++thread)
        running.emplace_back([&, thread] { results[thread] = run_thread(routes, thread); });
    for (auto& thread : running)
        thread.join();
    std::vector<double> all;
    double cpu = 0;
    for (const auto& result : results) {
        cpu += result.cpu_ns / static_cast<double>(threads);
        all.insert(all.end(), result.samples.begin(), result.samples.end());
    }
    std::sort(all.begin(), all.end());
    return {cpu, all[all.size() / 2], all[all.size() / 100 * 99]};
}

void print_rows(std::string_view name, const routing_policy& policy, bool one_domain)
{
    for (const std::size_t threads : {1, 4}) {
        const auto few = measure(policy, 100, one_domain, threads);
        const auto many = measure(policy, 2300, one_domain, threads);
        const double slope = (many.cpu_ns - few.cpu_ns) / (2300 - 100);
        fmt::print("| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.2f} |\n", name,
                   one_domain ? "one" : "88 replicas each", threads, few.cpu_ns, few.p50_ns, few.p99_ns,
                   many.cpu_ns, many.p50_ns, many.p99_ns, slope);
    }
}

} // namespace

int main()
{
    fmt::print(
        "| policy | failure domains | threads | 100: CPU, ns | p50 | p99 | 2,300: CPU, ns | p50 | p99 | "
        "slope, ns per replica |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const bool one_domain : {false, true}) {
        print_rows("prefix_affinity", prefix_affinity{}, one_domain);
        print_rows("round_robin", round_robin{}, one_domain);
        print_rows("least_in_flight", least_in_flight{}, one_domain);
    }
}
