#include "siskinwharf/control/lease_holder.h"

#include <algorithm>
#include <utility>

#include "siskinwharf/base/era_numbers.h"

namespace siskinwharf::control {

namespace {

// A write whose answer was lost may take effect later. This covers the writes of the last minute; an older
// one could only grant a lease that has already expired.
constexpr std::size_t max_remembered_writes = 64;

} // namespace

lease_holder::lease_holder(const failure_domain_id& domain, std::string holder,
                           const lease_settings& settings, monotonic_time started)
    : m_key("lease/" + domain.value()),
      m_holder(std::move(holder)),
      m_instance(instance_of(m_holder)),
      m_settings(settings),
      m_started(started)
{
}

lease_action lease_holder::next(monotonic_time now)
{
    if (m_operation_running || now < m_wake_at)
        return lease_idle{m_wake_at};
    if (m_must_read)
        return read(now);
    return holds() ? next_as_holder(now) : next_as_observer(now);
}

void lease_holder::observe_era(std::uint64_t era, monotonic_time now)
{
    // Before the first row is read, nothing is known that could be lost.
    const bool is_restored = m_era && *m_era < era && m_row;
    m_era = std::max(m_era.value_or(era), era);
    if (!is_restored)
        return;
    m_row.reset();
    m_sent_writes.clear();
    m_must_read = true;
    m_wake_at = monotonic_time{};
    m_no_takeover_before = now + with_drift(m_settings.duration + m_settings.longest_order_delay);
    m_is_carried_over = m_holding && now < m_valid_until;
    if (!m_is_carried_over)
        become_observer();
}

std::uint64_t lease_holder::era_fencing() const
{
    return last_number_before_era(m_era.value_or(0));
}

std::uint64_t lease_holder::next_fencing() const
{
    return std::max({m_row ? m_row->record.fencing : 0, m_fencing, era_fencing()}) + 1;
}

lease_action lease_holder::next_as_holder(monotonic_time now)
{
    if (m_releasing)
        return write({"", m_fencing, 0}, now);
    if (m_is_carried_over) {
        if (now < m_valid_until)
            return write({m_holder, next_fencing(), 0}, now);
        become_observer();
        return next_as_observer(now);
    }
    if (now < m_renew_at) {
        m_wake_at = m_renew_at;
        return lease_idle{m_wake_at};
    }
    // Renews after the lease has expired as well: the condition on the row's version holds only if no other
    // process has taken over.
    return write({m_holder, m_fencing, 0}, now);
}

lease_action lease_holder::next_as_observer(monotonic_time now)
{
    if (m_releasing || !m_row) {
        m_wake_at = now + m_settings.poll_every;
        return lease_idle{m_wake_at};
    }
    if (now < takeover_time(*m_row))
        return read(now);
    m_history = history_of(*m_row);
    return write({m_holder, next_fencing(), 0}, now);
}

lease_action lease_holder::read(monotonic_time now)
{
    m_operation_running = true;
    m_wake_at = now;
    return lease_read{m_key};
}

lease_action lease_holder::write(lease_record record, monotonic_time now)
{
    record.attempt = ++m_last_attempt;
    if (const auto last = last_own_call(m_history))
        m_history.replace(m_instance, *last);
    m_history.forget_before(now - with_drift(m_settings.duration));
    record.callers = m_history.ages(now);
    if (!record.holder.empty())
        m_sent_writes[record.attempt] = now;
    if (m_sent_writes.size() > max_remembered_writes)
        m_sent_writes.erase(m_sent_writes.begin());
    m_operation_running = true;
    cloud::write_condition condition = cloud::require_absent{};
    if (m_row && m_row->version > 0)
        condition = cloud::require_version{m_row->version};
    return lease_commit{{{{m_key, encode(record), condition}}}};
}

void lease_holder::read_done(const cloud::read_result& result, monotonic_time now)
{
    m_operation_running = false;
    const auto* row = std::get_if<std::optional<cloud::table_row>>(&result);
    m_table_available = row != nullptr;
    if (row == nullptr) {
        m_wake_at = now + m_settings.retry_after;
        return;
    }
    m_must_read = false;
    observe(*row, now);
}

void lease_holder::commit_done(const cloud::commit_result& result, monotonic_time now)
{
    m_operation_running = false;
    m_table_available = !std::holds_alternative<cloud::table_unavailable>(result) &&
                        !std::holds_alternative<cloud::table_uncertain>(result);
    if (std::holds_alternative<cloud::table_unavailable>(result)) {
        m_sent_writes.erase(m_last_attempt);
        m_wake_at = now + m_settings.retry_after;
        return;
    }
    // Reads the row again after a lost answer to learn the outcome, and after a success to learn the version.
    // The version cannot be inferred, because an earlier write of this process with an unknown outcome may
    // have been applied first.
    m_must_read = true;
    if (const auto* conflict = std::get_if<cloud::table_conflict>(&result);
        conflict != nullptr && !conflict->rows.empty()) {
        m_must_read = false;
        observe(conflict->rows.front().current, now);
    }
}

void lease_holder::observe(const std::optional<cloud::table_row>& row, monotonic_time now)
{
    m_wake_at = now;
    observed_row seen{0, {}, now};
    if (row) {
        seen.version = row->version;
        // The holder of an undecodable record is unknown. The row's version stands in for its fencing token,
        // as it is at least as high as any token written so far.
        const lease_record undecodable{"undecodable", row->version, 0, {{"", milliseconds(0)}}};
        seen.record = decode_lease_record(row->value).value_or(undecodable);
    }
    const bool changed = !m_row || m_row->version != seen.version;
    if (!changed)
        seen.unchanged_since = m_row->unchanged_since;
    m_row = seen;
    if (seen.record.holder == m_holder && is_of_this_era(seen)) {
        m_is_carried_over = false;
        record_holding(seen);
        return;
    }
    // The row is as it was before this process wrote to it. It still holds the lease, and nobody else may.
    if (m_is_carried_over && !is_of_this_era(seen) && now < m_valid_until)
        return;
    become_observer();
    m_wake_at = std::max(now, std::min(now + m_settings.poll_every, takeover_time(seen)));
}

void lease_holder::record_holding(const observed_row& row)
{
    m_holding = true;
    m_fencing = row.record.fencing;
    const auto sent = m_sent_writes.find(row.record.attempt);
    if (sent == m_sent_writes.end())
        return;
    m_valid_until = std::max(m_valid_until, sent->second + m_settings.duration);
    m_renew_at = sent->second + m_settings.renew_after;
    m_sent_writes.erase(m_sent_writes.begin(), std::next(sent));
}

void lease_holder::become_observer()
{
    m_holding = false;
    m_is_carried_over = false;
    m_valid_until = monotonic_time{};
}

void lease_holder::stale_token_seen(std::uint64_t newer_token)
{
    if (!holds() || newer_token <= m_fencing)
        return;
    become_observer();
    m_must_read = true;
    m_wake_at = monotonic_time{};
}

void lease_holder::release()
{
    m_releasing = true;
    m_wake_at = monotonic_time{};
}

void lease_holder::call_started(monotonic_time now)
{
    m_running_calls.insert(now);
}

void lease_holder::call_ended(monotonic_time started, bool is_answered, monotonic_time now)
{
    if (const auto call = m_running_calls.find(started); call != m_running_calls.end())
        m_running_calls.erase(call);
    const auto arrived = is_answered ? now : std::max(now, started + m_settings.longest_order_delay);
    m_last_call = std::max(m_last_call.value_or(arrived), arrived);
}

bool lease_holder::is_of_this_era(const observed_row& row) const
{
    return row.record.fencing > era_fencing();
}

bool lease_holder::is_never_written(const observed_row& row) const
{
    return row.version == 0 && (m_settings.is_first_start || era_fencing() == 0);
}

nanoseconds lease_holder::takeover_wait(const observed_row& row) const
{
    if (is_never_written(row))
        return nanoseconds(0);
    // After a release no new order is sent, but the last one may still be in transit. A record of an earlier
    // era, or none, may have had a successor that a restore of the table has lost.
    const bool is_released = row.record.holder.empty() && is_of_this_era(row);
    return with_drift(is_released ? m_settings.longest_order_delay
                                  : m_settings.duration + m_settings.longest_order_delay);
}

monotonic_time lease_holder::takeover_time(const observed_row& row) const
{
    return std::max({row.unchanged_since + takeover_wait(row), m_no_takeover_before, return_time(row)});
}

caller_history lease_holder::history_of(const observed_row& row) const
{
    if (is_never_written(row))
        return {};
    caller_history history(row.record.callers, row.unchanged_since);
    const auto last_call_of_holder =
        row.unchanged_since + m_settings.duration + m_settings.longest_order_delay;
    if (!is_of_this_era(row))
        history.note("", std::max(last_call_of_holder, m_no_takeover_before));
    else if (!row.record.holder.empty())
        history.note(instance_of(row.record.holder), last_call_of_holder);
    return history;
}

std::optional<monotonic_time> lease_holder::last_own_call(const caller_history& history) const
{
    auto last = m_last_call;
    if (!m_running_calls.empty()) {
        const auto running = *m_running_calls.rbegin() + m_settings.longest_order_delay;
        last = std::max(last.value_or(running), running);
    }
    // What the table says can be later than the calls were made, but this process knows its own.
    if (auto before_restart = history.last_of(m_instance); before_restart) {
        const auto latest = std::min(*before_restart, m_started + m_settings.longest_order_delay);
        last = std::max(last.value_or(latest), latest);
    }
    return last;
}

monotonic_time lease_holder::return_time(const observed_row& row) const
{
    const auto history = history_of(row);
    const auto last = last_own_call(history);
    // Others wait for the longest order delay before they take over, so their calls come after the latest
    // arrival of this instance's.
    if (!last || !history.has_other_since(m_instance, *last))
        return {};
    return *last + with_drift(m_settings.duration);
}

nanoseconds lease_holder::with_drift(nanoseconds wait) const
{
    const auto drift = static_cast<double>(wait.count()) * m_settings.clock_drift;
    // The extra nanosecond covers an order that arrives exactly at the end of its longest delay.
    return wait + nanoseconds(static_cast<std::int64_t>(drift)) + nanoseconds(1);
}

order_permission lease_holder::permission(monotonic_time now, nanoseconds time_needed) const
{
    if (!holds() || m_releasing)
        return order_permission::not_holder;
    if (now >= m_valid_until)
        return order_permission::expired;
    if (!m_table_available)
        return order_permission::table_unavailable;
    if (now + time_needed >= m_valid_until)
        return order_permission::too_little_time;
    return order_permission::permitted;
}

std::optional<std::uint64_t> lease_holder::fencing() const
{
    if (!holds())
        return std::nullopt;
    return m_fencing;
}

} // namespace siskinwharf::control
