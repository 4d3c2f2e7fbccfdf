#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/membership/member_options.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// Between exchanges with a random process of another failure domain.
inline constexpr milliseconds summary_period{5000};

/// After this long without a newer summary, a failure domain counts as unreachable: news passes through
/// several processes, each after up to one period.
inline constexpr milliseconds summary_lifetime{60000};

/// An entry process of another failure domain, from the instance list.
struct remote_instance {
    failure_domain_id domain;
    instance_id instance;
    peer::address contact;

    auto operator<=>(const remote_instance&) const = default;
};

/// The newest summary of each failure domain. Each process gives its own domain's summary to a random process
/// of another domain each period and takes all newer ones from it. Not safe for concurrent use.
class domain_summary_table {
public:
    explicit domain_summary_table(failure_domain_id own);

    /// Sets the rows of the own failure domain. `unix_time` in milliseconds is the sequence, so that several
    /// processes of the domain can make summaries and the latest one wins.
    void set_own(std::vector<peer::summary_row> rows, std::uint64_t unix_time);

    /// Returns a request (over TCP) when one is due, else nothing. `remotes` must not contain processes of
    /// the own failure domain.
    [[nodiscard]] std::optional<outgoing_message> tick(monotonic_time now, std::mt19937_64& random,
                                                       const std::vector<remote_instance>& remotes);

    /// Answers a request and takes the summary that it gives.
    [[nodiscard]] peer::summary_reply receive(monotonic_time now, const peer::summary_request& request);

    /// Takes the summaries of a reply.
    void receive(monotonic_time now, const peer::summary_reply& reply);

    /// The current summaries of the other failure domains, by domain.
    [[nodiscard]] std::vector<peer::domain_summary> summaries(monotonic_time now) const;

private:
    struct entry {
        peer::domain_summary summary;
        monotonic_time received_at;
    };

    void accept(monotonic_time now, const peer::domain_summary& summary);
    [[nodiscard]] static bool expired(const entry& value, monotonic_time now);

    failure_domain_id m_own;
    // An expired entry stays, so that its sequence keeps the same old summary from coming back.
    std::map<failure_domain_id, entry> m_entries;
    std::optional<monotonic_time> m_next_exchange;
};

} // namespace siskinwharf::membership
