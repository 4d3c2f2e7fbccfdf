#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// Decides whether this process has lost its network paths to all endpoints, in contrast to single endpoints
/// that hang, refuse connections or are silent. Performs no I/O.
///
/// It suspects so when connections to different endpoints fail, or when nothing arrives from any of them
/// although requests wait at several. Then it asks for a probe: connections to a few endpoints. If none
/// opens, the paths are lost, until one does. Old connections may live on meanwhile, so what arrives on them
/// does not end it.
class path_monitor {
public:
    /// A request was sent to an endpoint, and an answer is expected.
    void begin_wait(const endpoint_id& endpoint, monotonic_time now);
    void end_wait(const endpoint_id& endpoint);
    /// Something arrived from an endpoint.
    void on_received(monotonic_time now);
    /// A connection to an endpoint could not be opened.
    void on_connect_failed(const endpoint_id& endpoint, monotonic_time now);

    /// Whether to probe now. `listed` is the number of endpoints that there are.
    [[nodiscard]] bool must_probe(std::size_t listed, monotonic_time now) const;
    void begin_probe();
    /// `is_reached`: a connection to one of the probed endpoints was opened.
    void end_probe(bool is_reached, monotonic_time now);

    /// Whether no endpoint can be reached.
    [[nodiscard]] bool is_lost() const { return m_lost_since.has_value(); }
    /// Whether the paths are lost, or came back just now: failures that show now may be those of the paths.
    [[nodiscard]] bool was_just_lost(monotonic_time now) const;
    /// Whether the paths may be lost, as far as is known before a probe.
    [[nodiscard]] bool is_suspected(std::size_t listed, monotonic_time now) const;
    /// Time since the paths were lost; 0 if they are not.
    [[nodiscard]] milliseconds lost_time(monotonic_time now) const;

private:
    std::map<endpoint_id, std::size_t> m_waiting; ///< Requests that wait, by endpoint.
    monotonic_time
        m_quiet_since{}; ///< When something arrived, or requests began to wait at several endpoints.
    std::map<endpoint_id, monotonic_time> m_failed_connects;
    bool m_is_probing = false;
    monotonic_time m_next_probe{};
    monotonic_time m_regained{};
    std::optional<monotonic_time> m_lost_since;
};

/// Returns up to `count` endpoints to probe: of different services and failure domains where there are any,
/// others each `turn`.
[[nodiscard]] std::vector<endpoint_record> choose_probed(std::vector<endpoint_record> listed,
                                                         std::size_t count, std::uint64_t turn);

} // namespace siskinwharf::dispatch
