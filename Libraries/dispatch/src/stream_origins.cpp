#include "siskinwharf/dispatch/stream_origins.h"

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

std::uint64_t stream_number(const account_id& account, const request_id& attempt)
{
    return combine64(hash64(account.value()), hash64(attempt.value()));
}

void stream_origins::begin(const stream_origin& origin, monotonic_time now)
{
    add(origin, repetitions, now);
}

void stream_origins::merge(const std::vector<stream_origin>& told, monotonic_time now)
{
    for (const auto& origin : told)
        add(origin, 0, now);
}

void stream_origins::add(const stream_origin& origin, int untold, monotonic_time now)
{
    if (const auto [known, is_new] = m_origins.emplace(origin.stream, origin); !is_new) {
        // Peers are told both, because one of them alone would pass for certain there.
        if (known->second == origin || !m_other_origins.emplace(origin.stream, origin).second)
            return;
    }
    m_streams.push_back({origin, now, untold, untold});
    if (m_streams.size() > maximum_streams)
        drop_oldest();
}

void stream_origins::drop_oldest()
{
    const auto stream = m_streams.front().origin.stream;
    m_origins.erase(stream);
    m_other_origins.erase(stream);
    m_streams.pop_front();
}

std::optional<stream_origin> stream_origins::find(std::uint64_t stream) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || is_ambiguous(stream))
        return std::nullopt;
    return found->second;
}

bool stream_origins::is_ambiguous(std::uint64_t stream) const
{
    return m_other_origins.contains(stream);
}

std::vector<stream_origin> stream_origins::find(const std::vector<std::uint64_t>& streams) const
{
    std::vector<stream_origin> result;
    for (const auto stream : streams) {
        for (const auto* origins : {&m_origins, &m_other_origins}) {
            if (const auto found = origins->find(stream); found != origins->end())
                result.push_back(found->second);
        }
    }
    return result;
}

std::vector<stream_origin> stream_origins::take_news(const software_history& history, monotonic_time now)
{
    return take(&begun_stream::untold, true, history, now);
}

std::vector<stream_origin> stream_origins::take_copies(const software_history& history, monotonic_time now)
{
    return take(&begun_stream::uncopied, false, history, now);
}

std::vector<stream_origin> stream_origins::take(int begun_stream::*left, bool is_mixed,
                                                const software_history& history, monotonic_time now)
{
    std::vector<stream_origin> result;
    std::map<service_id, bool> mixed;
    for (auto& stream : m_streams) {
        if (stream.*left == 0)
            continue;
        const auto [found, is_new] = mixed.try_emplace(stream.origin.service, false);
        if (is_new)
            found->second = history.is_mixed(stream.origin.service, now);
        if (found->second != is_mixed)
            continue;
        --(stream.*left);
        result.push_back(stream.origin);
    }
    return result;
}

void stream_origins::expire(const software_history& history, monotonic_time now)
{
    while (!m_streams.empty() && now - m_streams.front().begun > history.stream_lifetime())
        drop_oldest();
}

} // namespace siskinwharf::dispatch
