#pragma once

#include <map>
#include <optional>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/forwarding/deployment_store.h"

namespace siskinwharf::forwarding {

/// The registrations of processes, as they were last read from the store. Performs no I/O.
///
/// Only a read decides that a registration has expired: while the store does not answer this process, it may
/// answer the others, which then renew theirs.
class registration_table {
public:
    /// Replaces all registrations by those of a read.
    void replace(const std::vector<process_registration>& read, monotonic_time now);
    /// Records that this incarnation of a process has left as planned, so that its registration counts no
    /// longer. It may be read once more, or its removal may have failed.
    void forget(const instance_id& process, std::uint64_t start);

    /// When the store was last read; the epoch if never.
    [[nodiscard]] monotonic_time read_at() const { return m_read_at; }
    /// Whether the process was registered when the store was last read.
    [[nodiscard]] bool is_valid(const instance_id& process) const;
    /// Registrations that were valid when the store was last read.
    [[nodiscard]] std::vector<registered_process> valid() const;
    /// When a registration that was valid then expires, if it is not renewed.
    [[nodiscard]] std::optional<monotonic_time> expiry(const instance_id& process) const;
    /// Registrations that had expired at this time.
    [[nodiscard]] std::vector<process_registration> expired(monotonic_time before) const;

private:
    struct entry {
        process_registration registration;
        monotonic_time until;
        bool is_valid = false;
        bool has_left = false;
    };

    std::map<instance_id, entry> m_entries;
    monotonic_time m_read_at{};
};

} // namespace siskinwharf::forwarding
