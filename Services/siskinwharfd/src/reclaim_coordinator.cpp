#include "reclaim_coordinator.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/serving/chat_request.h"
#include "worker.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Engines do not report these; the values are below what the engines of today reach, so that a plan errs
/// towards leaving too early.
constexpr double export_bytes_per_second = 1e9;
constexpr std::uint64_t kv_bytes_per_token = 131'072;
constexpr double prefill_tokens_per_second = 4'000;
/// Speed of one stream where it has not been measured.
constexpr double assumed_tokens_per_second = 20;
/// Pause before streams without a target are planned again.
constexpr milliseconds replan_period{200};
/// Weight of one recomputed token at a setting of 1, in microcents. At a setting of w it is this times w / (1
/// - w), so that 0.5 weighs a token like its price on an instance of 1 cent a second at 1,000 tokens a
/// second.
constexpr double microcents_per_token_at_even_weight = 1'000;
constexpr double largest_weight = 0.999;

double weight_of(double setting)
{
    const double bounded = std::min(setting, largest_weight);
    return microcents_per_token_at_even_weight * bounded / (1 - bounded);
}

/// Tokens a second of one stream, as measured on its last tokens.
double speed_of(const live_request& request)
{
    const auto measured = request.tokens_per_second();
    return measured > 0 ? measured : assumed_tokens_per_second;
}

} // namespace

reclaim_coordinator::reclaim_coordinator(entry_core& core, worker& own) : m_core(core), m_worker(own) {}

void reclaim_coordinator::on_leaving(const std::map<endpoint_id, monotonic_time>& gone_at)
{
    for (const auto& [endpoint, time] : gone_at)
        m_gone_at.insert_or_assign(endpoint, time);
    plan();
}

void reclaim_coordinator::on_restored(const std::set<endpoint_id>& endpoints)
{
    for (const auto& endpoint : endpoints)
        m_gone_at.erase(endpoint);
    // The endpoint may be drained again while a request still runs there.
    for (const auto& [key, request] : m_worker.requests()) {
        if (endpoints.contains(request->planned_for))
            request->planned_for = {};
    }
}

void reclaim_coordinator::plan()
{
    std::erase_if(m_gone_at, [time = now()](const auto& entry) { return entry.second < time; });
    request_list affected;
    const auto situation = describe(affected);
    if (situation.streams.empty())
        return;
    routing::reclaim_options options;
    options.microcents_per_recomputed_token = weight_of(m_core.settings.recomputed_token_weight);
    const auto plan = routing::plan_reclaim(situation, options);
    for (std::size_t index = 0; index < affected.size(); ++index)
        carry_out(affected[index], plan.streams[index]);
    if (plan.waiting > 0 && !m_planning_again) {
        m_planning_again = true;
        asio::co_spawn(m_worker.context(), plan_again(), asio::detached);
    }
}

routing::reclaim_snapshot reclaim_coordinator::describe(request_list& affected) const
{
    routing::reclaim_snapshot situation;
    const auto time = now();
    std::map<endpoint_id, double> speeds;
    for (const auto& [key, request] : m_worker.requests()) {
        const auto& endpoint = request->endpoint();
        if (!endpoint || request->ended() || request->planned_for == endpoint->id ||
            !m_gone_at.contains(endpoint->id))
            continue;
        const auto& spec = request->spec();
        routing::reclaimed_stream stream;
        stream.request = spec.id;
        stream.endpoint = endpoint->id;
        stream.prompt_tokens = static_cast<std::uint32_t>(serving::count_tokens(spec.prompt));
        stream.produced_tokens = static_cast<std::uint32_t>(request->tokens().size());
        stream.remaining_tokens = spec.max_tokens - std::min(stream.produced_tokens, spec.max_tokens);
        stream.kv_bytes = (stream.prompt_tokens + stream.produced_tokens) * kv_bytes_per_token;
        stream.time_to_deadline = spec.deadline - time;
        situation.streams.push_back(std::move(stream));
        affected.push_back(request);
        auto& speed = speeds.try_emplace(endpoint->id, speed_of(*request)).first->second;
        speed = std::min(speed, speed_of(*request));
    }
    for (const auto& [id, speed] : speeds) {
        const auto info = m_core.table.find_info(id);
        if (!info)
            continue;
        situation.leaving.push_back(
            {id, info->region, info->serves, m_gone_at.at(id) - time, export_bytes_per_second, speed});
    }
    add_targets(situation);
    return situation;
}

void reclaim_coordinator::add_targets(routing::reclaim_snapshot& situation) const
{
    const routing::rcu_read_section section;
    const auto& snapshot = m_core.table.read(section);
    situation.egress = snapshot.egress;
    // All workers of all entry processes of a failure domain plan at the same time.
    const auto planners =
        std::max<std::uint32_t>(1, m_core.settings.threads * m_core.entries_in_domain.load());
    for (const auto& [id, entry] : snapshot.endpoints) {
        if (entry.info->state != routing::endpoint_state::live || m_gone_at.contains(id))
            continue;
        const auto used = entry.load->streams();
        const auto free = entry.capacity > used ? entry.capacity - used : 0;
        if (free == 0)
            continue;
        routing::reclaim_target target;
        target.id = id;
        target.region = entry.info->region;
        target.serves = entry.info->serves;
        target.free_streams = (free + planners - 1) / planners;
        target.imports_kv = true;
        target.prefill_tokens_per_second = prefill_tokens_per_second;
        target.decode_tokens_per_second = assumed_tokens_per_second;
        situation.targets.push_back(std::move(target));
    }
}

void reclaim_coordinator::carry_out(const std::shared_ptr<live_request>& request,
                                    const routing::stream_plan& plan)
{
    if (std::holds_alternative<routing::wait_for_capacity>(plan.action))
        return;
    request->planned_for = request->endpoint()->id;
    if (const auto* move = std::get_if<routing::move_cache>(&plan.action)) {
        asio::co_spawn(m_worker.context(), move_later(request, {move->to, true}, move->export_start),
                       asio::detached);
    } else if (const auto* elsewhere = std::get_if<routing::continue_elsewhere>(&plan.action)) {
        request->request_move({elsewhere->to, false});
    }
}

asio::awaitable<void> reclaim_coordinator::move_later(std::shared_ptr<live_request> request,
                                                      move_request move, nanoseconds delay)
{
    const auto endpoint = request->planned_for;
    asio::steady_timer timer(m_worker.context(), delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // The stream may have ended, or may have been moved for another reason, in the meantime.
    if (!request->ended() && request->endpoint() && request->endpoint()->id == endpoint)
        request->request_move(std::move(move));
}

asio::awaitable<void> reclaim_coordinator::plan_again()
{
    asio::steady_timer timer(m_worker.context(), replan_period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_planning_again = false;
    plan();
}

} // namespace siskinwharf::entry
