#include "siskinwharf/admission/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::admission {

namespace {

static_assert(std::atomic<std::uint32_t>::is_always_lock_free &&
              std::atomic<std::size_t>::is_always_lock_free);

/// Number of counters of the filter. With the default entry limit, at most one in four requests without an
/// entry takes the mutex.
constexpr std::size_t filter_size = 16'384;
constexpr std::size_t digest_length = 64; // Hexadecimal digits of SHA-256.
constexpr std::size_t maximum_account_bytes = 256;

bool is_well_formed(const quarantine_record& record)
{
    return record.key.digest.size() == digest_length && !record.key.account.empty() &&
           record.key.account.value().size() <= maximum_account_bytes && !record.crashes.empty() &&
           record.crashes.size() <= quarantine_crash_threshold && record.remaining >= milliseconds{0};
}

} // namespace

quarantine::quarantine(quarantine_limits limits) : m_limits(limits), m_filter(filter_size) {}

content_status quarantine::status(const content_key& key, monotonic_time now) const
{
    if (is_empty() || m_filter[filter_index(key)].load(std::memory_order_acquire) == 0)
        return content_status::healthy;
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? content_status::healthy : status_of(found->second, now);
}

content_status quarantine::on_crash(const content_key& key, crash_id crash, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    return status_of(add(key, {crash}, now + m_limits.lifetime, now), now);
}

std::optional<quarantine_record> quarantine::on_finished(const content_key& key, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || status_of(found->second, now) != content_status::suspect)
        return std::nullopt;
    found->second.expires = now;
    return quarantine_record{key, found->second.crashes, milliseconds{0}};
}

void quarantine::merge(const std::vector<quarantine_record>& records, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        if (!is_well_formed(record))
            continue;
        if (record.remaining == milliseconds{0})
            clear(record, now);
        else
            (void)add(record.key, record.crashes, now + std::min(record.remaining, m_limits.lifetime), now);
    }
}

std::vector<quarantine_record> quarantine::records(monotonic_time now, std::size_t maximum) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<quarantine_record> result;
    for (const auto& [key, value] : m_entries) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(value.expires - now);
        if (remaining > milliseconds{0})
            result.push_back({key, value.crashes, remaining});
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) {
        return std::tie(right.remaining, left.key) < std::tie(left.remaining, right.key);
    });
    if (result.size() > maximum)
        result.erase(result.begin() + static_cast<std::ptrdiff_t>(maximum), result.end());
    return result;
}

void quarantine::expire(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        const auto next = std::next(position);
        if (position->second.expires + m_limits.tombstone_lifetime <= now)
            erase(position);
        position = next;
    }
}

const quarantine::entry& quarantine::add(const content_key& key, const std::set<crash_id>& crashes,
                                         monotonic_time expires, monotonic_time now)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        found = insert(key, entry{{}, expires}, now);
    entry& value = found->second;
    std::set<crash_id> new_crashes;
    std::set_difference(crashes.begin(), crashes.end(), value.crashes.begin(), value.crashes.end(),
                        std::inserter(new_crashes, new_crashes.end()));
    if (new_crashes.empty())
        return value;
    if (value.expires <= now)
        value.crashes.clear();
    for (const crash_id crash : new_crashes) {
        if (value.crashes.size() < quarantine_crash_threshold)
            value.crashes.insert(crash);
    }
    value.expires = std::max(value.expires, expires);
    return value;
}

void quarantine::clear(const quarantine_record& record, monotonic_time now)
{
    const auto found = m_entries.find(record.key);
    // A tombstone is stored for an unknown entry, because an older record may still be in transit.
    if (found == m_entries.end())
        insert(record.key, entry{record.crashes, now}, now);
    else if (status_of(found->second, now) == content_status::suspect &&
             std::includes(record.crashes.begin(), record.crashes.end(), found->second.crashes.begin(),
                           found->second.crashes.end()))
        found->second.expires = now;
}

quarantine::entries::iterator quarantine::insert(const content_key& key, entry value, monotonic_time now)
{
    evict_if_full(now);
    const auto position = m_entries.emplace(key, std::move(value)).first;
    m_filter[filter_index(key)].fetch_add(1, std::memory_order_release);
    m_size.fetch_add(1, std::memory_order_release);
    return position;
}

void quarantine::evict_if_full(monotonic_time now)
{
    if (m_entries.size() < m_limits.maximum_entries || m_entries.empty())
        return;
    // Evicts tombstones first, then suspects: forgetting a suspect costs one more crash, forgetting a
    // quarantined request costs two.
    const auto eviction_order = [now](const entry& value) {
        return std::tuple(status_of(value, now), value.expires);
    };
    erase(std::min_element(m_entries.begin(), m_entries.end(), [&](const auto& left, const auto& right) {
        return eviction_order(left.second) < eviction_order(right.second);
    }));
}

void quarantine::erase(entries::iterator position)
{
    m_filter[filter_index(position->first)].fetch_sub(1, std::memory_order_release);
    m_size.fetch_sub(1, std::memory_order_release);
    m_entries.erase(position);
}

content_status quarantine::status_of(const entry& value, monotonic_time now)
{
    if (value.expires <= now)
        return content_status::healthy;
    return value.crashes.size() >= quarantine_crash_threshold ? content_status::quarantined
                                                              : content_status::suspect;
}

std::size_t quarantine::filter_index(const content_key& key)
{
    return combine64(hash64(key.account.value()), hash64(key.digest)) % filter_size;
}

} // namespace siskinwharf::admission
