#pragma once

#include <algorithm>
#include <random>
#include <string>

#include "siskinwharf/routing/reclaim_plan.h"

namespace siskinwharf::routing {

/// Weights of two kinds of deployment, in microcents per recomputed token. The KV cache of a token, 131,072
/// bytes, costs 262 microcents to send at 2 cents per gigabyte. The lower weight therefore prefers
/// recomputation to a transfer between regions, and the higher weight prefers the transfer.
inline constexpr double cost_heavy_weight = 50;
inline constexpr double recompute_heavy_weight = 2000;

/// Parameters of a generated reclaim.
struct reclaim_scenario {
    int leaving = 88;            ///< Endpoints of one failure domain at the projected scale.
    int streams = 40;            ///< On each leaving endpoint.
    int targets_in_region = 264; ///< Three more failure domains in the region.
    int targets_elsewhere = 1948;
    std::uint32_t free_streams = 24; ///< On each target.
    nanoseconds notice = seconds(30);
    std::uint64_t seed = 20261204;
};

/// Generates streams from the seed: prompts with a median of 900 tokens, up to 600 tokens produced and up to
/// 2,400 remaining; one stream in four has a shared prefix of 512 tokens cached on one of the targets.
inline reclaim_snapshot make_reclaim_snapshot(const reclaim_scenario& scenario)
{
    constexpr std::uint64_t kv_bytes_per_token =
        131'072;                           // 32 layers, 8 heads of 128, keys and values, 2 bytes.
    constexpr double export_rate = 1.25e9; // 10 Gbit/s.
    constexpr double decode_rate = 30;
    constexpr double prefill_rate = 8000;
    const target served = model_target{model_id("dough-7b"), "3"};
    std::mt19937_64 random(scenario.seed);
    std::lognormal_distribution<double> prompt(6.8, 0.8);
    reclaim_snapshot snapshot;
    snapshot.egress = {{region_id("a"), 2}, {region_id("b"), 2}};
    const int targets = scenario.targets_in_region + scenario.targets_elsewhere;
    for (int number = 0; number < targets; ++number) {
        const region_id region(number < scenario.targets_in_region ? "a" : "b");
        snapshot.targets.push_back({endpoint_id("t" + std::to_string(number)), region, served,
                                    scenario.free_streams, true, prefill_rate, decode_rate});
    }
    for (int number = 0; number < scenario.leaving; ++number) {
        const endpoint_id id("l" + std::to_string(number));
        snapshot.leaving.push_back({id, region_id("a"), served, scenario.notice, export_rate, decode_rate});
        for (int count = 0; count < scenario.streams; ++count) {
            reclaimed_stream stream;
            stream.request = request_id(id.value() + "-" + std::to_string(count));
            stream.endpoint = id;
            stream.prompt_tokens = static_cast<std::uint32_t>(std::clamp(prompt(random), 32.0, 16384.0));
            stream.produced_tokens = static_cast<std::uint32_t>(random() % 600);
            stream.remaining_tokens = static_cast<std::uint32_t>(1 + random() % 2400);
            stream.kv_bytes = kv_bytes_per_token * (stream.prompt_tokens + stream.produced_tokens);
            stream.time_to_deadline = seconds(180);
            if (targets > 0 && random() % 4 == 0)
                stream.cached = {{snapshot.targets[random() % snapshot.targets.size()].id, 512}};
            snapshot.streams.push_back(std::move(stream));
        }
    }
    return snapshot;
}

} // namespace siskinwharf::routing
