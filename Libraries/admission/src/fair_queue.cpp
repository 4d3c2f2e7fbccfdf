#include "siskinwharf/admission/fair_queue.h"

#include <algorithm>

namespace siskinwharf::admission {

static_assert(std::atomic<std::uint32_t>::is_always_lock_free);

fair_queue::fair_queue(queue_limits limits) : m_limits(limits), m_queued(limits.maximum_accounts) {}

account_slot fair_queue::set_account(const account_id& account, std::uint32_t weight)
{
    const std::lock_guard lock(m_mutex);
    const auto [position, added] = m_slots.try_emplace(account, m_accounts.size());
    if (added) {
        if (m_accounts.size() == m_limits.maximum_accounts) {
            m_slots.erase(position);
            throw too_many_accounts("the fair queue has no slot for account " + account.value());
        }
        m_accounts.emplace_back();
    }
    m_accounts[position->second].weight = std::max(weight, 1U);
    return position->second;
}

std::optional<queued_request> fair_queue::push(queued_request request)
{
    const std::lock_guard lock(m_mutex);
    const account_slot slot = request.account;
    account_state& account = m_accounts.at(slot);
    std::optional<queued_request> dropped;
    if (account.waiting.size() >= m_limits.maximum_queued) {
        const auto earliest = std::min_element(
            account.waiting.begin(), account.waiting.end(),
            [](const auto& left, const auto& right) { return left.deadline < right.deadline; });
        if (earliest == account.waiting.end() || request.deadline <= earliest->deadline)
            return request;
        dropped = remove(slot, static_cast<std::size_t>(earliest - account.waiting.begin()));
    }
    m_deadlines.insert({{request.deadline, request.request}, slot});
    account.waiting.push_back(std::move(request));
    m_queued[slot].fetch_add(1, std::memory_order_relaxed);
    if (account.waiting.size() == 1)
        activate(slot);
    return dropped;
}

std::optional<queued_request> fair_queue::pop()
{
    const std::lock_guard lock(m_mutex);
    if (m_active.empty())
        return std::nullopt;
    const auto [start_tag, slot] = *m_active.begin();
    account_state& account = m_accounts[slot];
    m_virtual_time = std::max(m_virtual_time, start_tag);
    const auto cost = static_cast<double>(std::max<std::uint64_t>(account.waiting.front().cost, 1));
    account.finish_tag = start_tag + cost / account.weight;
    queued_request request = remove(slot, 0);
    if (!account.waiting.empty()) {
        m_active.erase({start_tag, slot});
        activate(slot);
    }
    return request;
}

std::vector<queued_request> fair_queue::drop_expired(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<queued_request> dropped;
    while (!m_deadlines.empty() && m_deadlines.begin()->first.first < now) {
        const auto& [key, slot] = *m_deadlines.begin();
        dropped.push_back(remove(slot, *find(slot, key.second)));
    }
    return dropped;
}

bool fair_queue::cancel(account_slot account, const request_id& request)
{
    const std::lock_guard lock(m_mutex);
    const auto index = find(account, request);
    if (!index)
        return false;
    (void)remove(account, *index);
    return true;
}

std::optional<std::size_t> fair_queue::find(account_slot slot, const request_id& request) const
{
    const auto& waiting = m_accounts.at(slot).waiting;
    const auto position = std::find_if(waiting.begin(), waiting.end(),
                                       [&](const auto& entry) { return entry.request == request; });
    if (position == waiting.end())
        return std::nullopt;
    return static_cast<std::size_t>(position - waiting.begin());
}

bool fair_queue::is_over_limit(account_slot account) const noexcept
{
    return account >= m_queued.size() ||
           m_queued[account].load(std::memory_order_relaxed) >= m_limits.maximum_queued;
}

std::size_t fair_queue::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_deadlines.size();
}

void fair_queue::activate(account_slot slot)
{
    account_state& account = m_accounts[slot];
    // Caps the service credit that an account accumulates while it is idle.
    account.start_tag = std::max(m_virtual_time - m_limits.burst, account.finish_tag);
    m_active.insert({account.start_tag, slot});
}

queued_request fair_queue::remove(account_slot slot, std::size_t index)
{
    account_state& account = m_accounts[slot];
    const auto position = account.waiting.begin() + static_cast<std::ptrdiff_t>(index);
    queued_request request = std::move(*position);
    account.waiting.erase(position);
    m_deadlines.erase({{request.deadline, request.request}, slot});
    m_queued[slot].fetch_sub(1, std::memory_order_relaxed);
    if (account.waiting.empty())
        m_active.erase({account.start_tag, slot});
    return request;
}

} // namespace siskinwharf::admission
