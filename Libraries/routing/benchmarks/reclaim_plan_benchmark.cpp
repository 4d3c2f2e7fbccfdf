// Prints the recomputed tokens and the transfer price of reclaim plans, compared with restarting every
// stream.

#include <chrono>
#include <string_view>

#include <fmt/format.h>

#include "reclaim_scenario.h"

namespace {

using namespace siskinwharf;
using namespace siskinwharf::routing;

struct named_scenario {
    std::string_view name;
    reclaim_scenario scenario;
};

struct action_counts {
    std::size_t finished = 0;
    std::size_t moved = 0;
    std::size_t continued = 0;
    std::size_t waiting = 0;

    void operator()(const finish_here&) { ++finished; }
    void operator()(const move_cache&) { ++moved; }
    void operator()(const continue_elsewhere&) { ++continued; }
    void operator()(const wait_for_capacity&) { ++waiting; }
};

/// Lower bound on the tokens that any plan recomputes: those of streams that cannot finish in time, less what
/// is cached and what the export bandwidth of the endpoint can move. Ignores free slots, deadlines and links
/// between regions.
std::uint64_t recomputation_lower_bound(const reclaim_snapshot& snapshot)
{
    constexpr double kv_bytes_per_token = 131'072;
    double bound = 0;
    for (const auto& endpoint : snapshot.leaving) {
        const double notice = std::chrono::duration<double>(endpoint.time_left).count();
        double rest = -notice * endpoint.export_bytes_per_second / kv_bytes_per_token;
        for (const auto& stream : snapshot.streams) {
            if (stream.endpoint != endpoint.id ||
                stream.remaining_tokens <= notice * endpoint.decode_tokens_per_second)
                continue;
            const std::uint32_t cached = stream.cached.empty() ? 0 : stream.cached.front().tokens;
            rest += stream.prompt_tokens + stream.produced_tokens - std::min(cached, stream.prompt_tokens);
        }
        bound += std::max(rest, 0.0);
    }
    return static_cast<std::uint64_t>(bound);
}

void print_row(const named_scenario& row, std::string_view weight_name, double weight)
{
    const auto snapshot = make_reclaim_snapshot(row.scenario);
    const auto begin = std::chrono::steady_clock::now();
    const auto plan = plan_reclaim(snapshot, {.microcents_per_recomputed_token = weight});
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
    action_counts counts;
    for (const auto& stream : plan.streams)
        std::visit([&](const auto& action) { counts(action); }, stream.action);
    fmt::print(
        "| {} | {} | {} | {} | {} | {:.1f}% | {:.2f} | {} / {} / {} / {} | {} | {:.1f} |\n", row.name,
        weight_name, restart_tokens(snapshot), recomputation_lower_bound(snapshot), plan.recomputed_tokens,
        100.0 * static_cast<double>(plan.recomputed_tokens) / static_cast<double>(restart_tokens(snapshot)),
        plan.microcents / 1e8, counts.finished, counts.moved, counts.continued, counts.waiting, plan.late,
        elapsed.count());
}

} // namespace

int main()
{
    const named_scenario rows[] = {
        {"domain, room in region, 30 s", {}},
        {"domain, room in region, 5 s", {.notice = seconds(5)}},
        {"domain, room in region, 8 s", {.notice = seconds(8)}},
        {"domain, room in region, 120 s", {.notice = seconds(120)}},
        {"domain, a third fits in region, 30 s", {.free_streams = 4}},
        {"one endpoint, room in region, 30 s", {.leaving = 1}},
        {"whole region (one domain), 30 s", {.leaving = 10, .targets_in_region = 0, .targets_elsewhere = 20}},
        {"whole region (one domain), 120 s",
         {.leaving = 10, .targets_in_region = 0, .targets_elsewhere = 20, .notice = seconds(120)}},
    };
    fmt::print(
        "| scenario | weight | restart, tokens | bound, tokens | plan, tokens | share | dollars | "
        "finish / move / continue / wait | late | plan, ms |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& row : rows) {
        print_row(row, "cost", cost_heavy_weight);
        print_row(row, "recompute", recompute_heavy_weight);
    }
}
