#include "request_version.h"

#include <algorithm>
#include <utility>

#include "request_refused.h"
#include "version_choice.h"

namespace siskinwharf::entry {

namespace {

/// How long a request waits for a slot of one version while another one is served as well.
constexpr milliseconds longest_wait{200};
/// Reports of versions are repeated every 5 s.
constexpr milliseconds gone_grace{10'000};

} // namespace

bool request_version::choose(const std::vector<endpoint_id>& excluded)
{
    const auto& spec = m_request.spec();
    if (!is_open())
        return false;
    const version_question question{spec.model, spec.versions, m_core.settings.failure_domain, excluded};
    auto chosen = choose_version(m_core.table, question);
    if (!chosen || *chosen == spec.version)
        return false;
    m_request.set_version(std::move(*chosen));
    return true;
}

monotonic_time request_version::limit_of_wait(monotonic_time limit) const
{
    if (!is_open() || m_request.spec().versions.size() < 2)
        return limit;
    return std::min(limit, now() + longest_wait);
}

void request_version::refuse_if_gone(monotonic_time time)
{
    const auto& spec = m_request.spec();
    const bool is_accepted = m_request.current_phase() == live_request::phase::accepted;
    if (!is_accepted || is_served(m_core.table, {spec.model, spec.version})) {
        m_gone_since.reset();
        return;
    }
    if (!m_gone_since)
        m_gone_since = time;
    if (time - *m_gone_since >= gone_grace)
        throw request_refused({http::refusal_type::version_gone,
                               "no endpoint has the version that began the answer", outcome::unknown});
}

} // namespace siskinwharf::entry
