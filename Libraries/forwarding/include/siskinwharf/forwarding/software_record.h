#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "siskinwharf/cloud/table_store.h"
#include "siskinwharf/forwarding/traffic_state.h"

namespace siskinwharf::forwarding {

/// The row of the store that lists the software versions which were in service lately. Each process records a
/// version there before streams begin at it, so that a read of the row shows every version that may have
/// begun a stream, whatever the reader's own list of endpoints shows. The row outlives all processes; the
/// holder of the duties removes versions from it.
class software_record {
public:
    /// At the first start of a deployment a missing row was never written.
    software_record(boost::asio::io_context& context, cloud::table_store& store, traffic_state& state,
                    const process_settings& settings);

    /// Reads the row if its content is not known, or if a restore of the store may have replaced it by an
    /// older one. Records versions that have come into service: the holder of the duties at once, other
    /// processes only if it has not done so within some 100 ms. The holder also removes versions that have
    /// left and names a new era of the store.
    boost::asio::awaitable<void> update(bool is_holder, monotonic_time now);
    /// Reads the row in a call that begins now, or in one that other callers of this function share. Returns
    /// whether the row lists all versions that may have begun a stream; not if the store did not answer.
    boost::asio::awaitable<bool> read_again();

private:
    [[nodiscard]] bool is_read_due(bool is_holder, bool records, monotonic_time now) const;
    /// Whether a version in service has not been recorded for so long that this process is to record it.
    [[nodiscard]] bool is_recording_due(monotonic_time now);
    /// Whether the row, as last read, lists a version that has joined since.
    [[nodiscard]] bool lists_unrecorded() const;
    /// Returns whether the store answered.
    boost::asio::awaitable<bool> read(monotonic_time now);
    /// Takes the row as just read, or that there is none, into the state of this process.
    void take(const std::optional<cloud::table_row>& row, monotonic_time now);
    /// Content of the row that this process would write.
    [[nodiscard]] dispatch::stored_software wanted(bool is_holder, monotonic_time now) const;
    /// Era of the store in which what this process knows is complete.
    [[nodiscard]] std::uint64_t complete_era(monotonic_time now) const;
    boost::asio::awaitable<void> write(std::string text, monotonic_time now);

    cloud::table_store& m_store;
    traffic_state& m_state;
    instance_id m_process;
    bool m_is_first_start;
    std::optional<std::string> m_text; ///< Content of the row as it was last read; empty if there is none.
    std::uint64_t m_version = 0;       ///< Of the row; 0 if there is none.
    std::uint64_t m_era = 0;           ///< Of the store when the row was read.
    std::uint64_t m_row_era = 0;       ///< As the row says.
    bool m_is_row_complete = false;    ///< The last read found all versions.
    bool m_is_write_uncertain = false; ///< The last write may still take effect.
    monotonic_time m_next_call{};      ///< `update` does not call the store before.
    /// Since when a version in service is not recorded.
    std::optional<monotonic_time> m_unrecorded_since;
    std::uint64_t m_reads_begun = 0; ///< Number of the last read that began.
    std::uint64_t m_reads_ended = 0; ///< Number of the newest read that ended; earlier ones are ignored.
    bool m_is_reading_again = false; ///< A read of `read_again` is under way.
    boost::asio::steady_timer m_read_ended; ///< Wakes those that wait for a read.
};

} // namespace siskinwharf::forwarding
