#pragma once

#include <array>
#include <cstddef>
#include <memory>

#include "siskinwharf/http/refusal.h"
#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::entry {

/// The metrics of an entry process. The counters are looked up once, so that raising them takes no lock.
class entry_metrics {
public:
    entry_metrics();

    [[nodiscard]] telemetry::metrics_registry& registry() { return m_registry; }
    void count_refusal(http::refusal_type type);
    /// A stream left an endpoint that is being reclaimed.
    void count_move() { m_moves->add(); }
    /// Tokens of the prompt and the answer that another endpoint has to compute again.
    void count_recomputed(std::uint64_t tokens) { m_recomputed->add(tokens); }

private:
    static constexpr std::size_t refusal_types = static_cast<std::size_t>(http::refusal_type::internal) + 1;

    telemetry::metrics_registry m_registry;
    std::array<std::shared_ptr<telemetry::counter>, refusal_types> m_refusals;
    std::shared_ptr<telemetry::counter> m_moves;
    std::shared_ptr<telemetry::counter> m_recomputed;
};

} // namespace siskinwharf::entry
