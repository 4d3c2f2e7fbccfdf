#pragma once

#include <atomic>
#include <functional>

#include "admission_gate.h"
#include "siskinwharf/admission/retry_budget.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/router.h"
#include "siskinwharf/routing/routing_table.h"
#include "siskinwharf/settings/settings.h"
#include "siskinwharf/sheet/sheet_register.h"

namespace siskinwharf::entry {

/// Why an endpoint gets no new work.
enum class endpoint_report {
    leaving, ///< It said so itself.
    dead,    ///< It died without notice.
};

/// What the threads of an entry process share. The members are safe for concurrent use.
struct entry_core {
    entry_core(settings::settings configured, const routing::routing_options& options, monotonic_time started)
        : settings(std::move(configured)),
          router(table, options),
          gate(router, table, settings.limits.queue_length_per_account),
          sheets(started)
    {
    }

    const settings::settings settings;
    routing::routing_table table;
    routing::router router;
    admission_gate gate;
    admission::retry_budget retries{admission::retry_limits{}};
    sheet::sheet_register sheets;
    /// A planned stop began: readiness fails and no new request is taken.
    std::atomic<bool> stopping{false};
    /// Reports what a request found out about an endpoint to the control thread.
    std::function<void(const endpoint_id&, endpoint_report)> report_endpoint;
    /// Live entry processes of the own failure domain, this one included.
    std::atomic<std::uint32_t> entries_in_domain{1};
    /// Numbers attempts and requests of this process.
    std::atomic<std::uint64_t> next_number{1};
};

[[nodiscard]] inline monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace siskinwharf::entry
