#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "admission_gate.h"
#include "crash_log.h"
#include "entry_metrics.h"
#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/admission/retry_budget.h"
#include "siskinwharf/base/memory_budget.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/message.h"
#include "siskinwharf/peer/messages.h"
#include "siskinwharf/peer/transport_options.h"
#include "siskinwharf/routing/router.h"
#include "siskinwharf/routing/routing_table.h"
#include "siskinwharf/settings/settings.h"
#include "siskinwharf/sheet/sheet_register.h"
#include "suspect_isolation.h"

namespace siskinwharf::entry {

/// Why an endpoint gets no new work.
enum class endpoint_report {
    leaving, ///< It said so itself.
    dead,    ///< It died without notice.
};

/// The budget for requests is this part of the memory of the process. A body is held up to three times: as
/// it was received, as a prompt, and in the call to an endpoint.
inline constexpr std::uint64_t memory_budget_divisor = 4;

struct request_spec;

/// Names a request by account, model and prompt.
[[nodiscard]] admission::content_key content_key_of(const request_spec& spec);

/// What the threads of an entry process share. The members are safe for concurrent use.
struct entry_core {
    entry_core(settings::settings configured, const routing::routing_options& options, monotonic_time started)
        : settings(std::move(configured)),
          router(table, options),
          isolation(table),
          gate(router, table, isolation, settings.limits.queue_length_per_account),
          memory(std::make_shared<memory_budget>(settings.limits.memory_bytes / memory_budget_divisor)),
          sheets(started)
    {
    }

    const settings::settings settings;
    routing::routing_table table;
    routing::router router;
    suspect_isolation isolation;
    admission_gate gate;
    /// Bounds the memory of callers' connections and requests.
    const std::shared_ptr<memory_budget> memory;
    admission::retry_budget retries{admission::retry_limits{}};
    admission::quarantine quarantine{admission::quarantine_limits{}};
    crash_log crashes;
    entry_metrics metrics;
    sheet::sheet_register sheets;
    /// A planned stop began: readiness fails and no new request is taken.
    std::atomic<bool> stopping{false};
    /// The instance list was read at least once.
    std::atomic<bool> endpoints_known{false};
    /// The entries of the quarantine have been fetched from a peer, or no peer has answered in time.
    std::atomic<bool> quarantine_known{true};
    /// Version of the instance list here, and whether this process reads it for its failure domain.
    std::atomic<std::uint64_t> instance_list_version{0};
    std::atomic<bool> reads_instance_list{false};
    /// The last poll of the sheet had an answer from the table.
    std::atomic<bool> table_answers{true};
    /// Reports what a request found out about an endpoint to the control thread.
    std::function<void(const endpoint_id&, endpoint_report)> report_endpoint;
    /// Sends new entries of the quarantine to the other entry processes of the failure domain. Called on the
    /// threads of the workers.
    std::function<void(std::vector<admission::quarantine_record>)> publish_quarantine;
    /// Ends once the other entry processes of the failure domain have confirmed that they know the quarantine
    /// of a request, or after a short limit. May be awaited from any thread.
    std::function<boost::asio::awaitable<void>(admission::content_key)> confirm_quarantine;
    /// Live entry processes of the own failure domain, this one included.
    std::atomic<std::uint32_t> entries_in_domain{1};
    /// Finds the caller address of the peer that holds a request, named `<account>:<request id>`. May be
    /// awaited from any thread.
    std::function<boost::asio::awaitable<std::optional<http::address>>(request_id)> find_holder;
    /// Bytes exchanged with other entry processes. To be called on the control thread.
    std::function<peer::transport_counters()> peer_counters;
    /// Capacity of the other failure domains. To be called on the control thread.
    std::function<std::vector<peer::domain_summary>()> domain_summaries;
    /// Numbers attempts and requests of this process.
    std::atomic<std::uint64_t> next_number{1};

    /// Whether requests may be accepted: a sheet is in force, the endpoints are known, and so are the
    /// quarantined requests of the failure domain. A process that knows no endpoint yet would refuse every
    /// request.
    [[nodiscard]] bool is_ready(monotonic_time time) const
    {
        return endpoints_known.load(std::memory_order_relaxed) &&
               quarantine_known.load(std::memory_order_relaxed) && sheets.is_ready(time);
    }
    /// A request has lost its endpoint, given as it was when the request began there: counts the crash if the
    /// endpoint was live, and publishes it. Must be called before the death is reported. Returns the status
    /// of the request.
    admission::content_status on_endpoint_lost(const admission::content_key& key,
                                               const routing::endpoint_info& endpoint);
    /// A request ran to its end: clears it here and at the peers if it was a suspect.
    void on_request_finished(const admission::content_key& key);
    /// Takes in entries from other entry processes. Returns the requests that are quarantined by them.
    std::vector<admission::content_key>
    merge_quarantine(const std::vector<admission::quarantine_record>& records);
};

[[nodiscard]] inline monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace siskinwharf::entry
