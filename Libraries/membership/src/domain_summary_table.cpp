#include "siskinwharf/membership/domain_summary_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace siskinwharf::membership {

domain_summary_table::domain_summary_table(failure_domain_id own) : m_own(std::move(own))
{
    m_entries[m_own].summary.domain = m_own;
}

void domain_summary_table::set_own(std::vector<peer::summary_row> rows, std::uint64_t unix_time)
{
    auto& own = m_entries.at(m_own).summary;
    // A clock that was set back must not make the new summary look old.
    own.sequence = std::max(own.sequence + 1, unix_time);
    own.rows = std::move(rows);
}

std::optional<outgoing_message> domain_summary_table::tick(monotonic_time now, std::mt19937_64& random,
                                                           const std::vector<remote_instance>& remotes)
{
    if (!m_next_exchange) {
        // Processes that were started together spread their exchanges over the period.
        std::uniform_int_distribution<std::int64_t> jitter(0, summary_period.count());
        m_next_exchange = now + milliseconds(jitter(random));
    }
    if (now < *m_next_exchange || remotes.empty())
        return std::nullopt;
    m_next_exchange = now + summary_period;
    // First the domain, then the process: otherwise large domains would be asked more often.
    std::map<failure_domain_id, std::vector<const remote_instance*>> by_domain;
    for (const auto& remote : remotes)
        by_domain[remote.domain].push_back(&remote);
    std::uniform_int_distribution<std::size_t> pick_domain(0, by_domain.size() - 1);
    const auto& candidates =
        std::next(by_domain.begin(), static_cast<std::ptrdiff_t>(pick_domain(random)))->second;
    std::uniform_int_distribution<std::size_t> pick_instance(0, candidates.size() - 1);
    const remote_instance& chosen = *candidates[pick_instance(random)];
    peer::summary_request request;
    for (const auto& [domain, value] : m_entries) {
        if (domain == m_own)
            request.own = value.summary;
        else
            request.known.push_back({domain, value.summary.sequence});
    }
    return outgoing_message{chosen.instance, chosen.contact, std::move(request), delivery::request};
}

peer::summary_reply domain_summary_table::receive(monotonic_time now, const peer::summary_request& request)
{
    accept(now, request.own);
    std::map<failure_domain_id, std::uint64_t> known;
    for (const auto& [domain, sequence] : request.known)
        known[domain] = sequence;
    peer::summary_reply reply;
    for (const auto& [domain, value] : m_entries) {
        const bool usable = domain == m_own ? value.summary.sequence != 0 : !expired(value, now);
        if (usable && domain != request.own.domain && value.summary.sequence > known[domain])
            reply.newer.push_back(value.summary);
    }
    return reply;
}

void domain_summary_table::receive(monotonic_time now, const peer::summary_reply& reply)
{
    for (const auto& summary : reply.newer)
        accept(now, summary);
}

std::vector<peer::domain_summary> domain_summary_table::summaries(monotonic_time now) const
{
    std::vector<peer::domain_summary> result;
    for (const auto& [domain, value] : m_entries) {
        if (domain != m_own && !expired(value, now))
            result.push_back(value.summary);
    }
    return result;
}

void domain_summary_table::accept(monotonic_time now, const peer::domain_summary& summary)
{
    // The own summary is made here from direct knowledge; a peer's copy of it is older or as good.
    if (summary.domain == m_own || summary.domain.empty())
        return;
    auto& known = m_entries[summary.domain];
    if (summary.sequence <= known.summary.sequence)
        return;
    known = {summary, now};
}

bool domain_summary_table::expired(const entry& value, monotonic_time now)
{
    return value.summary.sequence == 0 || now - value.received_at > summary_lifetime;
}

} // namespace siskinwharf::membership
