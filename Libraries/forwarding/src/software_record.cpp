#include "siskinwharf/forwarding/software_record.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/event_log.h"
#include "siskinwharf/base/hash.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

constexpr const char* row_key = "software-versions";
/// Wait after a call that the store did not answer, and between reads of a row that may be an older one.
constexpr milliseconds retry_interval{1'000};
/// Time that other processes leave the holder of the duties to record a version.
constexpr milliseconds holder_lead_time{200};
/// Mean distance of two processes that record the same version if the holder does not.
constexpr milliseconds spread_per_process{3};

/// Wait of a process until it records a version by itself. Differs between processes, so that few write.
milliseconds recording_delay(const instance_id& process, std::size_t processes)
{
    const auto position = unit_interval(mix64(hash64(process.value())));
    const auto spread = spread_per_process * static_cast<std::int64_t>(processes);
    return holder_lead_time + milliseconds(std::llround(position * static_cast<double>(spread.count())));
}

/// Marks a read as under way, also if it ends with an exception, and wakes those that wait for it.
class reading_guard {
public:
    reading_guard(bool& is_reading, asio::steady_timer& ended) : m_is_reading(is_reading), m_ended(ended)
    {
        m_is_reading = true;
    }
    reading_guard(const reading_guard&) = delete;
    reading_guard& operator=(const reading_guard&) = delete;
    reading_guard(reading_guard&&) = delete;
    reading_guard& operator=(reading_guard&&) = delete;
    ~reading_guard()
    {
        m_is_reading = false;
        m_ended.cancel();
    }

private:
    bool& m_is_reading;
    asio::steady_timer& m_ended;
};

/// The versions of `present` that `before` lacks.
dispatch::software_history::versions difference(const dispatch::software_history::versions& present,
                                                const dispatch::software_history::versions& before)
{
    dispatch::software_history::versions result;
    for (const auto& [service, versions] : present) {
        const auto known = before.find(service);
        for (const auto& version : versions) {
            if (known == before.end() || !known->second.contains(version))
                result[service].insert(version);
        }
    }
    return result;
}

} // namespace

software_record::software_record(asio::io_context& context, cloud::table_store& store, traffic_state& state,
                                 const process_settings& settings)
    : m_store(store),
      m_state(state),
      m_process(settings.instance),
      m_is_first_start(settings.is_first_start),
      m_read_ended(context, asio::steady_timer::time_point::max())
{
}

bool software_record::is_read_due(bool is_holder, bool records, monotonic_time now) const
{
    if (!m_text || !m_state.software().is_complete(now) || m_era != m_store.era())
        return true;
    // A version that has come back may have been removed from the row.
    if (lists_unrecorded())
        return true;
    // Another process may have recorded the version. The holder learns that by a conflict.
    return records && !is_holder;
}

bool software_record::lists_unrecorded() const
{
    const auto& recorded = m_state.software().recorded();
    for (const auto& [service, versions] : m_state.software().unrecorded()) {
        const auto listed = recorded.find(service);
        if (listed != recorded.end() && std::ranges::any_of(versions, [&](const auto& version) {
                return listed->second.contains(version);
            }))
            return true;
    }
    return false;
}

bool software_record::is_recording_due(monotonic_time now)
{
    if (m_state.software().unrecorded().empty()) {
        m_unrecorded_since.reset();
        return false;
    }
    if (!m_unrecorded_since)
        m_unrecorded_since = now;
    return now - *m_unrecorded_since >= recording_delay(m_process, m_state.processes());
}

asio::awaitable<void> software_record::update(bool is_holder, monotonic_time now)
{
    if (now < m_next_call)
        co_return;
    const bool records = is_recording_due(now);
    if (is_read_due(is_holder, records, now)) {
        if (!co_await read(now) || !m_state.software().is_complete(now))
            m_next_call = now + retry_interval;
    }
    if ((!is_holder && !records) || !m_text || m_era != m_store.era())
        co_return;
    const auto content = wanted(is_holder, now);
    auto text = dispatch::encode(content);
    // After a write without an answer, another one makes its condition false, so that it can't take effect
    // later.
    if (!content.versions.empty() && (text != *m_text || m_is_write_uncertain))
        co_await write(std::move(text), now);
}

dispatch::stored_software software_record::wanted(bool is_holder, monotonic_time now) const
{
    if (is_holder)
        return {complete_era(now), m_state.software().all_candidates(now)};
    auto& software = m_state.software();
    dispatch::stored_software result{complete_era(now), software.recorded()};
    // A row of an earlier era may lack versions that were recorded in the meantime.
    const auto added = result.era > m_row_era ? software.all_candidates(now) : software.unrecorded();
    for (const auto& [service, versions] : added)
        result.versions[service].insert(versions.begin(), versions.end());
    return result;
}

std::uint64_t software_record::complete_era(monotonic_time now) const
{
    return m_state.software().is_complete(now) ? m_era : m_row_era;
}

asio::awaitable<bool> software_record::read(monotonic_time now)
{
    const auto number = ++m_reads_begun;
    const auto result = co_await m_store.read(row_key);
    const auto* row = std::get_if<std::optional<cloud::table_row>>(&result);
    // What a later read has found is newer.
    if (number < m_reads_ended)
        co_return row != nullptr;
    m_reads_ended = number;
    m_is_row_complete = false;
    if (row != nullptr)
        take(*row, now);
    co_return row != nullptr;
}

asio::awaitable<bool> software_record::read_again()
{
    // A read that is under way may not show what was written since.
    const auto wanted_read = m_reads_begun + 1;
    while (m_reads_ended < wanted_read) {
        if (m_is_reading_again) {
            co_await m_read_ended.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const reading_guard guard(m_is_reading_again, m_read_ended);
        co_await read(std::chrono::steady_clock::now());
    }
    co_return m_is_row_complete;
}

void software_record::take(const std::optional<cloud::table_row>& row, monotonic_time now)
{
    m_era = m_store.era();
    m_version = row ? row->version : 0;
    const auto text = row ? row->value : std::string();
    const bool is_new = m_text != text;
    m_text = text;
    // No row: no process has served before, unless a restore of the store has removed it.
    const bool was_never_written = !row && (m_is_first_start || m_era == 0);
    const auto stored = row ? dispatch::decode_stored_software(text) : dispatch::stored_software{};
    // A damaged row says nothing.
    m_row_era = stored ? stored->era : 0;
    auto listed = stored ? stored->versions : dispatch::software_history::versions{};
    auto& software = m_state.software();
    const auto joined = difference(listed, software.recorded());
    software.set_recorded(std::move(listed));
    m_is_row_complete = stored && (was_never_written || (row && stored->era >= m_era));
    if (is_new)
        log_event(event::software_versions_read, {{"versions", text},
                                                  {"valid", stored ? "yes" : "no"},
                                                  {"complete", m_is_row_complete ? "yes" : "no"}});
    if (!stored)
        return;
    if (m_is_row_complete)
        software.restore(stored->versions, now);
    else
        software.add(stored->versions, now);
    software.renew(joined, now);
}

asio::awaitable<void> software_record::write(std::string text, monotonic_time now)
{
    cloud::write_condition condition = cloud::require_absent{};
    if (m_version > 0)
        condition = cloud::require_version{m_version};
    cloud::table_transaction transaction{{{row_key, std::move(text), condition}}};
    const auto result = co_await m_store.commit(std::move(transaction));
    if (std::holds_alternative<cloud::table_unavailable>(result)) {
        // This write was not made, but one before it may still be.
        m_next_call = now + retry_interval;
        co_return;
    }
    m_is_write_uncertain = std::holds_alternative<cloud::table_uncertain>(result);
    // Learns the version, or what another process wrote.
    m_text.reset();
    co_await read(now);
}

} // namespace siskinwharf::forwarding
