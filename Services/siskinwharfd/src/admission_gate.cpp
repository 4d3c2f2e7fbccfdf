#include "admission_gate.h"

#include <algorithm>
#include <list>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/admission/fair_queue.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;
using http::refusal_type;

namespace {

/// A slot that another entry process freed wakes nobody here, so a waiting request looks again by itself.
constexpr milliseconds fallback_period{25};
constexpr milliseconds overloaded_retry{1'000};
/// Weight of the newest sample in a mean.
constexpr double smoothing = 0.1;
/// A mean without new samples for this long is not used: one that refuses every request would never get a
/// sample that corrects it.
constexpr milliseconds sample_lifetime{5'000};
/// Stands for no first-token target.
constexpr milliseconds no_target{24 * 3'600'000};

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

double random_jitter()
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

/// Adds a sample to a mean. A sample that another thread overwrites does not matter.
void add_sample(std::atomic<double>& mean, double sample)
{
    const double before = mean;
    mean = before == 0 ? sample : before + smoothing * (sample - before);
}

} // namespace

struct admission_gate::waiter {
    waiter(asio::any_io_executor on, slot_request wanted)
        : executor(std::move(on)), timer(executor), request(std::move(wanted))
    {
    }

    asio::any_io_executor executor;
    asio::steady_timer timer; ///< Used on the executor only.
    // The members below are protected by the mutex of the queue.
    slot_request request;
    request_id key; ///< In the fair queue.
    admission::account_slot slot = 0;
    std::optional<slot_decision> decision;
};

struct admission_gate::target_queue {
    struct account_load {
        std::uint32_t weight = 1;
        std::uint32_t queued = 0;
    };

    explicit target_queue(std::size_t length)
        : fresh([length] {
              admission::queue_limits limits;
              limits.maximum_queued = length;
              return limits;
          }())
    {
    }

    std::mutex mutex;
    std::list<std::shared_ptr<waiter>> ahead; ///< Accepted requests, then retries.
    admission::fair_queue fresh;
    std::optional<admission::queued_request> next; ///< Left the fair queue and waits for the next slot.
    std::unordered_map<request_id, std::shared_ptr<waiter>> waiters; ///< Those of the fair queue.
    std::map<account_id, account_load> accounts;                     ///< With requests in the fair queue.

    void forget(const waiter& gone)
    {
        waiters.erase(gone.key);
        const auto account = accounts.find(gone.request.routing.account);
        if (account != accounts.end() && --account->second.queued == 0)
            accounts.erase(account);
    }

    static void wake(const std::shared_ptr<waiter>& target)
    {
        asio::post(target->executor, [target] { target->timer.cancel(); });
    }
};

/// Counts a waiting request and removes it from the queue, also when its coroutine is destroyed.
class admission_gate::ticket {
public:
    ticket(admission_gate& gate, std::shared_ptr<target_queue> queue, std::shared_ptr<waiter> own)
        : m_gate(gate), m_queue(std::move(queue)), m_own(std::move(own))
    {
        ++m_gate.m_waiting;
        ++m_gate.statistics_of(m_own->request.routing.serves).waiting;
    }
    ticket(const ticket&) = delete;
    ticket& operator=(const ticket&) = delete;
    ticket(ticket&&) = delete;
    ticket& operator=(ticket&&) = delete;
    ~ticket()
    {
        {
            const std::scoped_lock lock(m_queue->mutex);
            m_queue->ahead.remove(m_own);
            if (m_queue->waiters.contains(m_own->key)) {
                if (m_queue->next && m_queue->next->request == m_own->key)
                    m_queue->next.reset();
                else
                    m_queue->fresh.cancel(m_own->slot, m_own->key);
                m_queue->forget(*m_own);
            }
        }
        --m_gate.statistics_of(m_own->request.routing.serves).waiting;
        --m_gate.m_waiting;
    }

private:
    admission_gate& m_gate;
    std::shared_ptr<target_queue> m_queue;
    std::shared_ptr<waiter> m_own;
};

admission_gate::admission_gate(routing::router& router, const routing::routing_table& table,
                               const suspect_isolation& isolation, std::size_t queue_length)
    : m_router(router), m_table(table), m_isolation(isolation), m_queue_length(queue_length)
{
}

admission_gate::~admission_gate() = default;

asio::awaitable<slot_decision> admission_gate::acquire(slot_request request)
{
    if (statistics_of(request.routing.serves).waiting == 0) {
        auto decision = choose(request.routing);
        const auto* reason = std::get_if<routing::no_endpoint>(&decision);
        if (reason == nullptr || *reason != routing::no_endpoint::all_full)
            co_return check(std::move(decision), request);
    }
    const auto executor = co_await asio::this_coro::executor;
    const auto give_up_at = request.give_up_at;
    const auto queue = queue_of(request.routing.serves);
    const auto own = std::make_shared<waiter>(executor, std::move(request));
    const ticket place(*this, queue, own);
    enter(*queue, own);
    while (true) {
        dispatch(*queue);
        {
            const std::scoped_lock lock(queue->mutex);
            if (own->decision)
                co_return std::move(*own->decision);
        }
        if (now() >= give_up_at)
            co_return routing::no_endpoint::all_full;
        own->timer.expires_at(std::min(now() + fallback_period, give_up_at));
        co_await own->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void admission_gate::on_release(const routing::target& target, const slot_usage& usage)
{
    auto& statistics = statistics_of(target);
    add_sample(statistics.hold_seconds, std::chrono::duration<double>(usage.held).count());
    if (usage.tokens_per_second > 0 && usage.share_of_maximum > 0) {
        add_sample(statistics.tokens_per_second, usage.tokens_per_second);
        add_sample(statistics.share_of_maximum, usage.share_of_maximum);
        statistics.sampled_at = nanoseconds(now().time_since_epoch()).count();
    }
    if (statistics.waiting != 0)
        dispatch(*queue_of(target));
}

admission_gate::target_statistics& admission_gate::statistics_of(const routing::target& target)
{
    return m_statistics[routing::hash_target(target) % statistics_count];
}

std::shared_ptr<admission_gate::target_queue> admission_gate::queue_of(const routing::target& target)
{
    const std::scoped_lock lock(m_mutex);
    auto& queue = m_queues[target];
    if (!queue)
        queue = std::make_shared<target_queue>(m_queue_length);
    return queue;
}

routing::routing_decision admission_gate::choose(const routing::routing_request& request)
{
    if (!m_isolation.any_reserved())
        return m_router.choose(request, now());
    auto restricted = request;
    const auto reserved = m_isolation.reserved(request.serves);
    restricted.excluded.insert(restricted.excluded.end(), reserved.begin(), reserved.end());
    auto decision = m_router.choose(restricted, now());
    const auto* reason = std::get_if<routing::no_endpoint>(&decision);
    // The reserved endpoints become free again, so the request waits like one that finds all of them full.
    if (reason != nullptr && !reserved.empty() && *reason == routing::no_endpoint::no_endpoint_for_target)
        return routing::no_endpoint::all_full;
    return decision;
}

slot_decision admission_gate::check(routing::routing_decision decision, const slot_request& request)
{
    if (const auto* reason = std::get_if<routing::no_endpoint>(&decision))
        return *reason;
    auto& chosen = std::get<routing::chosen_endpoint>(decision);
    if (request.priority == slot_priority::accepted)
        return std::move(chosen);
    admission::admission_estimate expected;
    // The router has compared the first token with its target.
    expected.decode = decode_time(request.routing);
    if (auto refusal = judge(request, expected, false))
        return std::move(*refusal);
    return std::move(chosen);
}

milliseconds admission_gate::decode_time(const routing::routing_request& request)
{
    const auto& statistics = statistics_of(request.serves);
    const monotonic_time sampled_at{nanoseconds(statistics.sampled_at)};
    const double rate = statistics.tokens_per_second;
    if (rate <= 0 || now() - sampled_at > sample_lifetime)
        return milliseconds(0);
    // Callers set the maximum far above the length of their answers.
    const double tokens = statistics.share_of_maximum * request.output_tokens;
    return milliseconds(static_cast<std::int64_t>(1'000 * tokens / rate));
}

void admission_gate::enter(target_queue& queue, const std::shared_ptr<waiter>& added)
{
    const std::scoped_lock lock(queue.mutex);
    const auto& request = added->request;
    if (request.priority != slot_priority::fresh) {
        const auto place = std::ranges::find_if(
            queue.ahead, [&](const auto& other) { return other->request.priority > request.priority; });
        queue.ahead.insert(place, added);
        return;
    }
    // Requests that wait because of their exclusions do not make this one wait.
    dispatch_locked(queue);
    if (queue.waiters.empty() && offer(*added))
        return;
    try {
        const auto slot = queue.fresh.set_account(request.routing.account, request.share);
        if (auto refusal = judge(request, estimate(queue, request), queue.fresh.is_over_limit(slot))) {
            added->decision = std::move(*refusal);
            return;
        }
        added->slot = slot;
        added->key = request_id(std::to_string(m_next_number++));
        auto& account = queue.accounts[request.routing.account];
        account.weight = request.share;
        ++account.queued;
        queue.waiters.emplace(added->key, added);
        const auto cost = std::uint64_t{request.routing.prompt_tokens} + request.routing.output_tokens;
        if (const auto dropped = queue.fresh.push({added->key, slot, cost, request.deadline})) {
            const auto loser = queue.waiters.at(dropped->request);
            queue.forget(*loser);
            loser->decision = http::refusal{refusal_type::overloaded, "too many requests of the account wait",
                                            outcome::not_run, overloaded_retry};
            target_queue::wake(loser);
        }
    } catch (const admission::too_many_accounts&) {
        added->decision = http::refusal{refusal_type::overloaded, "too many accounts wait for the model",
                                        outcome::not_run, overloaded_retry};
    }
}

bool admission_gate::offer(waiter& candidate)
{
    auto decision = choose(candidate.request.routing);
    const auto* reason = std::get_if<routing::no_endpoint>(&decision);
    if (reason != nullptr && *reason == routing::no_endpoint::all_full)
        return false;
    candidate.decision = check(std::move(decision), candidate.request);
    return true;
}

void admission_gate::dispatch(target_queue& queue)
{
    const std::scoped_lock lock(queue.mutex);
    dispatch_locked(queue);
}

void admission_gate::dispatch_locked(target_queue& queue)
{
    // A request of this list that excludes the endpoints with free slots does not hold up the others.
    for (auto place = queue.ahead.begin(); place != queue.ahead.end();) {
        if (!offer(**place)) {
            ++place;
            continue;
        }
        target_queue::wake(*place);
        place = queue.ahead.erase(place);
    }
    while (true) {
        if (!queue.next)
            queue.next = queue.fresh.pop();
        if (!queue.next)
            return;
        const auto found = queue.waiters.at(queue.next->request);
        if (!offer(*found))
            return;
        queue.next.reset();
        queue.forget(*found);
        target_queue::wake(found);
    }
}

admission::admission_estimate admission_gate::estimate(const target_queue& queue, const slot_request& request)
{
    std::uint32_t own_streams = 0;
    double prefill_rate = 0;
    {
        const routing::rcu_read_section section;
        const auto& targets = m_table.read(section).targets;
        const auto served = targets.find(request.routing.serves);
        if (served == targets.end())
            return {};
        for (const auto& group : served->second.groups) {
            for (const auto& entry : group->endpoints) {
                own_streams += entry.load->own_streams();
                prefill_rate = std::max(prefill_rate, entry.load->prefill_rate());
            }
        }
    }
    admission::admission_estimate result;
    if (prefill_rate > 0)
        result.prefill =
            milliseconds(static_cast<std::int64_t>(1'000.0 * request.routing.prompt_tokens / prefill_rate));
    result.decode = decode_time(request.routing);
    // The account waits for its own requests, each with as many of others as the weights allow, but for no
    // more than all that wait.
    const double all = static_cast<double>(queue.waiters.size()) + 1;
    const auto own = queue.accounts.find(request.routing.account);
    double weights = own == queue.accounts.end() ? request.share : 0;
    for (const auto& [account, load] : queue.accounts)
        weights += load.weight;
    const double own_queued = own == queue.accounts.end() ? 1 : own->second.queued + 1;
    const double turns =
        std::min(all, own_queued * weights / request.share) + static_cast<double>(queue.ahead.size());
    // By Little's law a slot becomes free every mean hold time divided by the number of slots in use.
    if (own_streams > 0)
        result.queue_wait = milliseconds(static_cast<std::int64_t>(
            1'000 * turns * statistics_of(request.routing.serves).hold_seconds / own_streams));
    return result;
}

std::optional<http::refusal> admission_gate::judge(const slot_request& request,
                                                   const admission::admission_estimate& estimate,
                                                   bool over_limit) const
{
    const auto target = request.routing.first_token_target;
    admission::admission_request wanted;
    wanted.deadline = request.deadline;
    wanted.first_token_target =
        target == nanoseconds(0) ? no_target : std::chrono::duration_cast<milliseconds>(target);
    const auto decision = m_control.decide(wanted, estimate, over_limit, random_jitter(), now());
    const auto* refused = std::get_if<admission::not_admitted>(&decision);
    if (refused == nullptr)
        return std::nullopt;
    http::refusal result;
    result.type = over_limit ? refusal_type::overloaded : refusal_type::deadline_unreachable;
    result.message = "the request is not admitted: " + std::string(admission::to_string(refused->reason));
    result.result = refused->result;
    result.retry_after = refused->retry_after;
    return result;
}

} // namespace siskinwharf::entry
