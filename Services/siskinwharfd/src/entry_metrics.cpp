#include "entry_metrics.h"

namespace siskinwharf::entry {

entry_metrics::entry_metrics()
    : m_moves(m_registry.find_counter("siskinwharf_moves_total", "Streams moved off a reclaimed endpoint.")),
      m_recomputed(m_registry.find_counter("siskinwharf_recomputed_tokens_total",
                                           "Prompt and answer tokens computed again at another endpoint."))
{
    for (std::size_t index = 0; index < refusal_types; ++index) {
        const auto type = static_cast<http::refusal_type>(index);
        const telemetry::label_list labels{{"type", std::string(http::to_string(type))}};
        m_refusals[index] =
            m_registry.find_counter("siskinwharf_refusals_total", "Refused requests by type.", labels);
    }
}

void entry_metrics::count_refusal(http::refusal_type type)
{
    m_refusals[static_cast<std::size_t>(type)]->add();
}

} // namespace siskinwharf::entry
