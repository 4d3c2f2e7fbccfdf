// Simulates a day with mass reclaims and refused starts in virtual time and prints its cost and shortfall for
// the capacity planner and for two baselines.

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "siskinwharf/control/capacity_planner.h"

namespace {

using namespace siskinwharf;
using namespace siskinwharf::control;

constexpr int seconds_per_day = 86'400;
constexpr int step_seconds = 10;
constexpr int plan_every_seconds = 30;
constexpr int start_seconds = 180; ///< Time to boot and to load the model weights.
constexpr int first_second = 100'000;

struct deployment {
    std::string_view name;
    int domains;
    double peak_streams;
    int mass_reclaims;
};

/// A time, in seconds of the day, in which all starts of an offer are refused.
struct refusal_window {
    std::size_t offer;
    int begin;
    int end;
};

/// The faults of one day, identical for all policies.
struct faults {
    std::vector<std::pair<int, std::string>> mass_reclaims; ///< Second of the day and failure domain.
    std::vector<refusal_window> refusals;
};

capacity_snapshot make_offers(int domains)
{
    capacity_snapshot snapshot;
    for (int number = 0; number < domains; ++number) {
        const failure_domain_id domain("d" + std::to_string(number));
        const double factor = 1 + 0.05 * number;
        const auto add = [&](const char* machine_class, instance_kind kind, double cents, unsigned streams) {
            snapshot.offers.push_back({{domain, machine_class, kind},
                                       static_cast<std::uint64_t>(cents * factor * 1e6),
                                       streams,
                                       0,
                                       0});
        };
        add("small", instance_kind::reclaimable, 60, 32);
        add("large", instance_kind::reclaimable, 130, 64);
        add("small", instance_kind::on_demand, 180, 32);
        add("large", instance_kind::on_demand, 350, 64);
        snapshot.budgets.push_back({domain, 100'000'000'000});
    }
    return snapshot;
}

faults draw_faults(const capacity_snapshot& snapshot, const deployment& site, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    faults day_faults;
    for (int number = 0; number < site.mass_reclaims; ++number) {
        const auto domain = static_cast<int>(random() % static_cast<std::uint64_t>(site.domains));
        const int begin = static_cast<int>(random() % seconds_per_day);
        const int end = begin + 1200 + static_cast<int>(random() % 4200);
        day_faults.mass_reclaims.emplace_back(begin, "d" + std::to_string(domain));
        for (std::size_t offer = 0; offer < snapshot.offers.size(); ++offer) {
            const auto& key = snapshot.offers[offer].key;
            if (key.domain.value() == day_faults.mass_reclaims.back().second &&
                key.kind == instance_kind::reclaimable)
                day_faults.refusals.push_back({offer, begin, end});
        }
    }
    // Each reclaimable offer is refused for half an hour four times a day.
    for (std::size_t offer = 0; offer < snapshot.offers.size(); ++offer) {
        for (int times = 0; times < 4; ++times) {
            const int begin = static_cast<int>(random() % seconds_per_day);
            if (snapshot.offers[offer].key.kind == instance_kind::reclaimable)
                day_faults.refusals.push_back({offer, begin, begin + 1800});
        }
    }
    return day_faults;
}

double demand_at(const deployment& site, int second)
{
    const double phase = 2 * std::numbers::pi * second / seconds_per_day;
    return site.peak_streams * (0.6 - 0.4 * std::cos(phase) + 0.05 * std::sin(37 * phase));
}

using policy = std::function<std::vector<capacity_order>(const capacity_snapshot&, monotonic_time)>;
using refused_callback = std::function<void(const offer_key&, monotonic_time)>;

struct day_result {
    double dollars = 0;
    double stream_seconds = 0;
    double late_stream_seconds = 0;
    int hours_missed = 0; ///< Hours in which more than 5% of the stream time exceeded the capacity.
    int refused_starts = 0;
};

class day {
public:
    day(const deployment& site, const faults& day_faults, policy decide, refused_callback refused)
        : m_site(site),
          m_faults(day_faults),
          m_snapshot(make_offers(site.domains)),
          m_decide(std::move(decide)),
          m_refused(std::move(refused)),
          m_ready_at(m_snapshot.offers.size())
    {
    }

    day_result run()
    {
        double hour_streams = 0;
        double hour_late = 0;
        // Each policy has an hour before the day to reach its usual capacity.
        for (int second = -3600; second < seconds_per_day; second += step_seconds) {
            advance(second);
            if (second % plan_every_seconds == 0)
                plan(second);
            if (second < 0)
                continue;
            const double demand = demand_at(m_site, second);
            const double late = std::max(0.0, demand - capacity());
            hour_streams += demand * step_seconds;
            hour_late += late * step_seconds;
            m_result.dollars += hourly_cost() / 1e8 * step_seconds / 3600;
            if ((second + step_seconds) % 3600 != 0)
                continue;
            m_result.hours_missed += hour_late > 0.05 * hour_streams ? 1 : 0;
            m_result.stream_seconds += std::exchange(hour_streams, 0);
            m_result.late_stream_seconds += std::exchange(hour_late, 0);
        }
        return m_result;
    }

private:
    void advance(int second)
    {
        for (const auto& [at, domain] : m_faults.mass_reclaims) {
            if (at / step_seconds != second / step_seconds)
                continue;
            for (std::size_t offer = 0; offer < m_ready_at.size(); ++offer) {
                auto& bought = m_snapshot.offers[offer];
                if (bought.key.domain.value() == domain && bought.key.kind == instance_kind::reclaimable) {
                    bought.running = bought.starting = 0;
                    m_ready_at[offer].clear();
                }
            }
        }
        for (std::size_t offer = 0; offer < m_ready_at.size(); ++offer) {
            auto& bought = m_snapshot.offers[offer];
            const auto ready =
                std::erase_if(m_ready_at[offer], [&](int ready_at) { return ready_at <= second; });
            bought.starting -= static_cast<std::uint32_t>(ready);
            bought.running += static_cast<std::uint32_t>(ready);
        }
    }

    void plan(int second)
    {
        const monotonic_time now(seconds(first_second + second));
        m_snapshot.demand_streams = static_cast<std::uint32_t>(
            std::max(demand_at(m_site, second), demand_at(m_site, second + start_seconds)));
        for (const auto& order : m_decide(m_snapshot, now)) {
            for (std::size_t offer = 0; offer < m_ready_at.size(); ++offer) {
                if (m_snapshot.offers[offer].key == order.key)
                    execute(offer, order.count, second, now);
            }
        }
    }

    void execute(std::size_t offer, std::uint32_t count, int second, monotonic_time now)
    {
        auto& bought = m_snapshot.offers[offer];
        while (bought.running + bought.starting > count && bought.starting > 0) {
            m_ready_at[offer].pop_back();
            --bought.starting;
        }
        bought.running = std::min(bought.running, count);
        while (bought.running + bought.starting < count) {
            const auto refused = std::ranges::any_of(m_faults.refusals, [&](const refusal_window& window) {
                return window.offer == offer && window.begin <= second && second < window.end;
            });
            if (refused) {
                ++m_result.refused_starts;
                m_refused(bought.key, now);
                return;
            }
            ++bought.starting;
            m_ready_at[offer].push_back(second + start_seconds);
        }
    }

    [[nodiscard]] double capacity() const
    {
        double streams = 0;
        for (const auto& offer : m_snapshot.offers)
            streams += offer.running * offer.streams;
        return streams;
    }

    [[nodiscard]] double hourly_cost() const
    {
        double microcents = 0;
        for (const auto& offer : m_snapshot.offers)
            microcents += static_cast<double>(offer.running + offer.starting) *
                          static_cast<double>(offer.microcents_per_hour);
        return microcents;
    }

    const deployment& m_site;
    const faults& m_faults;
    capacity_snapshot m_snapshot;
    policy m_decide;
    refused_callback m_refused;
    std::vector<std::vector<int>> m_ready_at;
    day_result m_result;
};

/// Baseline: covers the demand and the planner's margin from the cheapest permitted offers. An offer that was
/// refused since the last plan is skipped once.
std::vector<capacity_order> fill_cheapest(const capacity_snapshot& snapshot, bool on_demand_only,
                                          const std::vector<offer_key>& refused)
{
    std::vector<const capacity_offer*> by_price;
    for (const auto& offer : snapshot.offers)
        by_price.push_back(&offer);
    std::ranges::stable_sort(by_price, {}, [](const capacity_offer* offer) {
        return static_cast<double>(offer->microcents_per_hour) / offer->streams;
    });
    double missing = snapshot.demand_streams * (1 + capacity_settings{}.demand_margin);
    std::vector<capacity_order> orders;
    for (const auto* offer : by_price) {
        const bool allowed = !on_demand_only || offer->key.kind == instance_kind::on_demand;
        auto count =
            allowed ? static_cast<std::uint32_t>(std::ceil(std::max(missing, 0.0) / offer->streams)) : 0;
        if (std::ranges::find(refused, offer->key) != refused.end())
            count = std::min(count, offer->running + offer->starting);
        missing -= static_cast<double>(count) * offer->streams;
        orders.push_back({offer->key, count});
    }
    return orders;
}

day_result run_baseline(const deployment& site, const faults& day_faults, bool on_demand_only)
{
    std::vector<offer_key> refused;
    const auto decide = [&](const capacity_snapshot& snapshot, monotonic_time) {
        return fill_cheapest(snapshot, on_demand_only, std::exchange(refused, {}));
    };
    return day(site, day_faults, decide,
               [&](const offer_key& key, monotonic_time) { refused.push_back(key); })
        .run();
}

day_result run_planner(const deployment& site, const faults& day_faults)
{
    capacity_planner planner({});
    const auto decide = [&](const capacity_snapshot& snapshot, monotonic_time now) {
        for (const auto& offer : snapshot.offers) {
            if (offer.starting > 0)
                planner.start_accepted(offer.key);
        }
        return planner.plan(snapshot, now).orders;
    };
    return day(site, day_faults, decide,
               [&](const offer_key& key, monotonic_time now) { planner.start_refused(key, now); })
        .run();
}

void print_row(const deployment& site, std::string_view name,
               const std::function<day_result(const faults&)>& run)
{
    constexpr int days = 20;
    day_result sum;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        const auto result = run(draw_faults(make_offers(site.domains), site, seed));
        sum.dollars += result.dollars / days;
        sum.stream_seconds += result.stream_seconds;
        sum.late_stream_seconds += result.late_stream_seconds;
        sum.hours_missed += result.hours_missed;
        sum.refused_starts += result.refused_starts;
    }
    const double late = sum.late_stream_seconds / sum.stream_seconds;
    fmt::print("| {} | {} | {:.0f} | {:.2f}% | {} of {} | {:.4f} | {} |\n", site.name, name, sum.dollars,
               100 * late, sum.hours_missed, days * 24,
               sum.dollars * days * 3600 * 100 / (sum.stream_seconds - sum.late_stream_seconds),
               sum.refused_starts / days);
}

} // namespace

int main()
{
    const deployment deployments[] = {
        {"3 domains, 640 streams", 3, 640, 3},
        {"4 domains, 10,000 streams", 4, 10'000, 4},
        {"4 domains, 10,000 streams, no mass reclaim", 4, 10'000, 0},
    };
    fmt::print("| deployment | policy | dollars a day | late stream time | hours beyond target | "
               "cents per stream hour in time | refused starts a day |\n|---|---|---|---|---|---|---|\n");
    for (const auto& site : deployments) {
        print_row(site, "capacity_planner",
                  [&](const faults& day_faults) { return run_planner(site, day_faults); });
        print_row(site, "on demand only",
                  [&](const faults& day_faults) { return run_baseline(site, day_faults, true); });
        print_row(site, "cheapest first",
                  [&](const faults& day_faults) { return run_baseline(site, day_faults, false); });
    }
}
