#include "siskinwharf/control/caller_history.h"

#include <algorithm>
#include <chrono>

namespace siskinwharf::control {

namespace {

const std::string any_instance;

} // namespace

caller_history::caller_history(const std::vector<caller_age>& callers, monotonic_time seen_at)
{
    for (const auto& caller : callers)
        note(caller.instance, seen_at - caller.age);
}

void caller_history::note(const std::string& instance, monotonic_time time)
{
    const auto [entry, is_new] = m_last_calls.emplace(instance, time);
    if (!is_new)
        entry->second = std::max(entry->second, time);
}

void caller_history::replace(const std::string& instance, monotonic_time time)
{
    m_last_calls[instance] = time;
}

void caller_history::forget_before(monotonic_time time)
{
    std::erase_if(m_last_calls, [time](const auto& entry) { return entry.second < time; });
}

std::optional<monotonic_time> caller_history::last_of(const std::string& instance) const
{
    std::optional<monotonic_time> last;
    for (const auto& name : {any_instance, instance}) {
        if (const auto entry = m_last_calls.find(name); entry != m_last_calls.end())
            last = std::max(last.value_or(entry->second), entry->second);
    }
    return last;
}

bool caller_history::has_other_since(const std::string& instance, monotonic_time time) const
{
    return std::any_of(m_last_calls.begin(), m_last_calls.end(),
                       [&](const auto& entry) { return entry.first != instance && entry.second >= time; });
}

std::vector<caller_age> caller_history::ages(monotonic_time now) const
{
    std::vector<caller_age> result;
    for (const auto& [instance, time] : m_last_calls)
        result.push_back({instance, std::chrono::floor<milliseconds>(now - time)});
    return result;
}

} // namespace siskinwharf::control
