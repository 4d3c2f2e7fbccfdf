#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// How far a peer is from this process.
enum class peer_distance { same_domain, same_region, other_region };

/// A peer through which requests may reach endpoints.
struct helper {
    instance_id process;
    std::string ip;
    std::uint16_t port = 0; ///< Where it takes requests of its peers.
    peer_distance distance = peer_distance::same_domain;

    auto operator<=>(const helper&) const = default;
};

/// Chooses the peer that a request of a process without a path to endpoints goes through. Performs no I/O.
///
/// The load it answers: all requests of a process, or of all processes of a failure domain, while nearly all
/// of the peers may have lost their paths too.
class helper_choice {
public:
    /// Returns the peer to ask, or none. `tried` are those that have refused this request; `draw` differs
    /// between requests.
    [[nodiscard]] std::optional<helper> choose(const std::vector<helper>& peers,
                                               const std::vector<helper>& tried, std::uint64_t draw,
                                               monotonic_time now) const;

    void on_started(const instance_id& process);
    void on_ended(const instance_id& process);
    /// The peer passed a response on.
    void on_answered(const instance_id& process, monotonic_time now);
    /// The peer has no path itself, or takes no more requests.
    void on_refused(const instance_id& process, monotonic_time now);
    /// No connection to the peer could be opened.
    void on_unreachable(const instance_id& process, monotonic_time now);

private:
    struct state {
        std::size_t running = 0;
        monotonic_time answered{};
        monotonic_time not_before{}; ///< Left out until then.
    };

    [[nodiscard]] bool may_ask(const helper& peer, const std::vector<helper>& tried,
                               monotonic_time now) const;
    [[nodiscard]] const state& state_of(const instance_id& process) const;

    std::map<instance_id, state> m_states;
};

} // namespace siskinwharf::dispatch
