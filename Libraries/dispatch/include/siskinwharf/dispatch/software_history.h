#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// At which software versions a stream that may be taken up may begin.
struct stream_begin_rule {
    /// The endpoints that take requests are all of versions that are being recorded.
    bool must_wait = false;
    /// Missing if it may begin at any.
    std::optional<std::set<software_version>> allowed;

    auto operator<=>(const stream_begin_rule&) const = default;
};

/// Software versions that were in service lately, by service. A stream that is still taken up was begun by
/// one of them. The own list of endpoints may be older than that of the process at which a stream began, so a
/// version is recorded in the store before streams begin at it, and what is recorded is read again when a
/// stream is to be continued whose version nobody knows. Performs no I/O.
class software_history {
public:
    using versions = std::map<service_id, std::set<software_version>>;

    explicit software_history(monotonic_time started) : m_started(started) {}

    /// Sets the longest time from the begin of a stream until it is taken up for the last time.
    void set_stream_lifetime(milliseconds lifetime) { m_lifetime = lifetime; }
    [[nodiscard]] milliseconds stream_lifetime() const { return m_lifetime; }
    /// Takes the present list of endpoints, those that are leaving included.
    void observe(const std::vector<endpoint_record>& endpoints, monotonic_time now);
    /// Takes versions that were in service at a time that is not known. Others may have been as well.
    void add(const versions& before, monotonic_time now);
    /// As `add`, for all versions that were in service. With them, the history is complete.
    void restore(const versions& before, monotonic_time now);
    /// Takes versions that another process has recorded just now, because it sees them in service.
    void renew(const versions& recorded, monotonic_time now);
    /// Takes the versions that are recorded in the store, as just read.
    void set_recorded(versions recorded);

    /// Versions that the last read of the store listed, by service.
    [[nodiscard]] const versions& recorded() const { return m_recorded; }
    /// Versions in service that have not been seen to be recorded since they joined, by service.
    [[nodiscard]] versions unrecorded() const;
    /// At which versions a stream of the service that may be taken up may begin: at recorded ones, and at
    /// those that could not be recorded in `recording_grace`, since callers would get no answer otherwise.
    [[nodiscard]] stream_begin_rule begin_rule(const service_id& service, monotonic_time now) const;
    /// Whether the last read of the store listed a version of the service.
    [[nodiscard]] bool has_recorded(const service_id& service) const;

    /// The versions that a stream of the service which is taken up now may have been begun by.
    [[nodiscard]] std::set<software_version> candidates(const service_id& service, monotonic_time now) const;
    /// The only version that may have begun such a stream, or nothing if there are several or not all are
    /// known. It holds only if the recorded versions have been read since the stream began.
    [[nodiscard]] std::optional<software_version> only_candidate(const service_id& service,
                                                                 monotonic_time now) const;
    /// Whether streams of several versions may be taken up.
    [[nodiscard]] bool is_mixed(const service_id& service, monotonic_time now) const;
    /// The candidates of all services.
    [[nodiscard]] versions all_candidates(monotonic_time now) const;
    /// Whether all versions are known that a stream which is taken up now may have been begun by.
    [[nodiscard]] bool is_complete(monotonic_time now) const;

private:
    static constexpr milliseconds recording_grace{2'000};

    struct sighting {
        monotonic_time last_seen{};
        monotonic_time present_since{};
        bool is_present = false;
        bool takes_requests = false; ///< An endpoint of this version is not leaving.
        bool is_recorded = false;    ///< Has been read in the store since it joined.
    };

    monotonic_time m_started;
    milliseconds m_lifetime{30'000};
    std::map<service_id, std::map<software_version, sighting>> m_seen;
    bool m_is_restored = false;
    versions m_recorded; ///< As the store was last read, whether or not this process has seen them.
};

/// What the store's row of software versions says.
struct stored_software {
    /// Era of the store in which the row was known to be complete. In a later era, a restore of the store may
    /// have replaced the row by an older one.
    std::uint64_t era = 0;
    software_history::versions versions;

    auto operator<=>(const stored_software&) const = default;
};

/// The era, then one line for each version: the service, a tab and the version.
[[nodiscard]] std::string encode(const stored_software& stored);
/// Reads the output of `encode`. Nothing if it is damaged.
[[nodiscard]] std::optional<stored_software> decode_stored_software(std::string_view text);

} // namespace siskinwharf::dispatch
