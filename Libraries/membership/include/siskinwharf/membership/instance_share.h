#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// Periods and limits of an `instance_share`. A sign in the list reaches every process of the failure domain
/// within 2 s (P5), also when the reader dies right after it spoke: the others then wait for at most
/// `silence_limit` + `silence_jitter` and read the list themselves.
struct instance_share_options {
    milliseconds read_period{500};
    /// Spreads the reads of the failure domains.
    milliseconds read_jitter{100};
    /// An unchanged list is confirmed this often. At 30 members this is 2.9 KB/s at the reader.
    milliseconds confirmation_period{1000};
    /// More than the period of confirmations and a read, so that only a lost one causes a needless read.
    milliseconds silence_limit{1300};
    /// Lets one process read first, so that its report keeps the others from reading.
    milliseconds silence_jitter{400};
    /// Steps that are remembered, so that a peer that missed some fetches only what changed.
    std::size_t remembered_steps = 64;
    /// Earlier states that a request names. A process that read the list itself may have skipped the states
    /// of others, but then has an earlier one in common with them.
    std::size_t requested_states = 8;
};

/// The platform's instance list, which one process of a failure domain reads for all. The members choose the
/// reader by rendezvous hash; where they disagree for a moment, several read, which does no harm. A state of
/// the list is named by a digest of its records; changes name the state that they start from, so a receiver
/// that was never in that state sees that it missed some, and the digest of the result verifies them. Times
/// until leaving are not part of the state. Not safe for concurrent use.
class instance_share {
public:
    instance_share(const instance_share_options& options, instance_id self);

    /// Whether the members choose this process. `members` contains it.
    [[nodiscard]] bool is_reader(const std::vector<instance_id>& members) const;

    /// Whether this process is to read the platform's list now: the chosen reader each period, any other
    /// process at its start and after a time without a report. `members` contains this process.
    [[nodiscard]] bool is_read_due(monotonic_time now, const std::vector<instance_id>& members) const;

    /// Takes in a list that was read. `unix_time` in milliseconds becomes the version of a changed list.
    /// Returns what the other members are to be told, if anything.
    [[nodiscard]] std::optional<peer::instance_changes>
    list_read(monotonic_time now, std::mt19937_64& random, std::uint64_t unix_time,
              const std::vector<peer::instance_entry>& entries, std::string tag);

    /// The platform says that the list is still the one with the tag `known_tag`.
    [[nodiscard]] std::optional<peer::instance_changes>
    list_unchanged(monotonic_time now, std::mt19937_64& random, const std::string& known_tag);

    /// The platform did not answer.
    void read_failed(monotonic_time now, std::mt19937_64& random);

    enum class receipt : std::uint8_t {
        current, ///< Nothing new.
        applied, ///< The list changed.
        missing, ///< Steps are missing; `request` is to be sent to the sender.
        stale,   ///< The sender has an older list.
    };

    /// Takes in a report of another member, or its answer to a `request`.
    receipt receive(monotonic_time now, std::mt19937_64& random, const peer::instance_changes& changes);

    /// Asks a peer for what this process is missing.
    [[nodiscard]] peer::instance_list_request request() const;

    /// Answers such a request: the steps from the peer's state, or the whole list. Version 0 if there is no
    /// list here.
    [[nodiscard]] peer::instance_changes reply(monotonic_time now,
                                               const peer::instance_list_request& request) const;

    /// The list, in the order of the ids, with the times until leaving counted from `now`.
    [[nodiscard]] std::vector<peer::instance_entry> entries(monotonic_time now) const;

    [[nodiscard]] bool has_list() const { return m_version != 0; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }
    /// The platform's tag of the list; empty if none is known.
    [[nodiscard]] const std::string& tag() const { return m_tag; }

private:
    struct record {
        peer::instance_entry entry;
        std::uint64_t hash = 0;
        std::optional<monotonic_time> gone_at;
    };

    // One step: the state before it and the instances it touched.
    struct step {
        std::uint64_t base_digest = 0;
        std::vector<instance_id> touched;
    };

    bool put(monotonic_time now, const peer::instance_entry& entry);
    bool remove(const instance_id& id);
    std::vector<instance_id> replace_all(monotonic_time now,
                                         const std::vector<peer::instance_entry>& entries);
    void remember(std::uint64_t base_digest, std::vector<instance_id> touched);
    std::optional<peer::instance_changes> confirm(monotonic_time now);
    void heard(monotonic_time now, std::mt19937_64& random);
    void schedule_read(monotonic_time now, std::mt19937_64& random);
    [[nodiscard]] bool knows_state(std::uint64_t digest) const;
    [[nodiscard]] std::set<instance_id> touched_since(std::uint64_t digest) const;
    [[nodiscard]] peer::instance_changes describe(std::uint64_t base_digest) const;
    [[nodiscard]] static peer::instance_entry entry_at(const record& value, monotonic_time now);
    void describe_touched(monotonic_time now, const std::vector<instance_id>& touched,
                          peer::instance_changes& changes) const;

    instance_share_options m_options;
    instance_id m_self;
    std::map<instance_id, record> m_records;
    std::deque<step> m_steps;
    std::uint64_t m_version = 0;
    std::uint64_t m_digest = 0;
    std::string m_tag;
    monotonic_time m_next_read;     ///< If this process is the reader.
    monotonic_time m_next_own_read; ///< If it is not and hears nothing.
    std::optional<monotonic_time> m_confirm_at;
};

} // namespace siskinwharf::membership
