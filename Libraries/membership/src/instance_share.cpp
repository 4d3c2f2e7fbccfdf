#include "siskinwharf/membership/instance_share.h"

#include <algorithm>
#include <utility>

#include "siskinwharf/base/hash.h"
#include "siskinwharf/membership/polling.h"

namespace siskinwharf::membership {

namespace {

/// Names the list in the rendezvous hash, which is one of endpoints otherwise.
const endpoint_id list_key("instance-list");

/// Digest of a record without its time until leaving, which differs with each read.
std::uint64_t hash_of(const peer::instance_entry& entry)
{
    std::uint64_t result = hash64(entry.id.value());
    const auto add = [&result](std::uint64_t value) {
        result = combine64(result, value);
    };
    add(hash64(entry.address));
    add(entry.port);
    add(entry.peer_port);
    add(hash64(entry.domain.value()));
    add(hash64(entry.region.value()));
    add(static_cast<std::uint64_t>(entry.kind));
    add(hash64(entry.serves));
    add(hash64(entry.version));
    add(entry.leaving ? 1 : 0);
    add(entry.started_ms);
    add(entry.capacity);
    add(hash64(entry.machine_class));
    add(entry.price_microcents_per_second);
    add(entry.reclaimable ? 1 : 0);
    return result;
}

milliseconds random_below(milliseconds limit, std::mt19937_64& random)
{
    return milliseconds(random() % static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count(), 1)));
}

} // namespace

instance_share::instance_share(const instance_share_options& options, instance_id self)
    : m_options(options), m_self(std::move(self))
{
}

bool instance_share::is_reader(const std::vector<instance_id>& members) const
{
    return polling_owner(list_key, members) == m_self;
}

bool instance_share::is_read_due(monotonic_time now, const std::vector<instance_id>& members) const
{
    return now >= (is_reader(members) || !has_list() ? m_next_read : m_next_own_read);
}

std::optional<peer::instance_changes>
instance_share::list_read(monotonic_time now, std::mt19937_64& random, std::uint64_t unix_time,
                          const std::vector<peer::instance_entry>& entries, std::string tag)
{
    const std::uint64_t base = m_digest;
    const bool first = !has_list();
    auto touched = replace_all(now, entries);
    m_tag = std::move(tag);
    schedule_read(now, random);
    if (!first && touched.empty())
        return confirm(now);
    m_version = std::max(m_version + 1, unix_time);
    m_confirm_at = now + m_options.confirmation_period;
    if (first)
        return describe(m_digest);
    auto changes = describe(base);
    describe_touched(now, touched, changes);
    remember(base, std::move(touched));
    return changes;
}

std::optional<peer::instance_changes>
instance_share::list_unchanged(monotonic_time now, std::mt19937_64& random, const std::string& known_tag)
{
    schedule_read(now, random);
    // A report that came in during the read may have replaced the list that the platform was asked about.
    if (known_tag != m_tag)
        return std::nullopt;
    return confirm(now);
}

std::optional<peer::instance_changes> instance_share::confirm(monotonic_time now)
{
    if (m_confirm_at && now < *m_confirm_at)
        return std::nullopt;
    // The next read is due a little after the period otherwise, and the confirmation one read later still.
    m_confirm_at = now + m_options.confirmation_period - m_options.read_jitter;
    return describe(m_digest);
}

void instance_share::read_failed(monotonic_time now, std::mt19937_64& random)
{
    schedule_read(now, random);
}

instance_share::receipt instance_share::receive(monotonic_time now, std::mt19937_64& random,
                                                const peer::instance_changes& changes)
{
    if (changes.version == 0)
        return receipt::stale;
    if (has_list() && changes.digest == m_digest) {
        m_version = std::max(m_version, changes.version);
        if (!changes.tag.empty())
            m_tag = changes.tag;
        heard(now, random);
        return receipt::current;
    }
    if (changes.version <= m_version)
        return receipt::stale;
    const std::uint64_t base = m_digest;
    const bool first = !has_list();
    std::vector<instance_id> touched;
    if (changes.whole) {
        touched = replace_all(now, changes.put);
    } else if (!first && knows_state(changes.base_digest)) {
        for (const auto& entry : changes.put) {
            if (put(now, entry))
                touched.push_back(entry.id);
        }
        for (const auto& id : changes.removed) {
            if (remove(id))
                touched.push_back(id);
        }
    } else {
        return receipt::missing;
    }
    if (!first)
        remember(base, std::move(touched));
    m_tag.clear();
    if (m_digest != changes.digest) {
        // The state is one that no peer knows, so the request that follows gets the whole list.
        m_steps.clear();
        return receipt::missing;
    }
    m_version = changes.version;
    m_tag = changes.tag;
    heard(now, random);
    return receipt::applied;
}

peer::instance_changes instance_share::reply(monotonic_time now,
                                             const peer::instance_list_request& request) const
{
    for (const std::uint64_t digest : request.digests) {
        if (!knows_state(digest))
            continue;
        auto changes = describe(digest);
        const auto touched = touched_since(digest);
        describe_touched(now, {touched.begin(), touched.end()}, changes);
        return changes;
    }
    auto changes = describe(0);
    changes.whole = true;
    changes.put = entries(now);
    return changes;
}

peer::instance_list_request instance_share::request() const
{
    peer::instance_list_request result;
    if (!has_list())
        return result;
    result.digests.push_back(m_digest);
    for (auto each = m_steps.rbegin(); each != m_steps.rend(); ++each) {
        if (result.digests.size() > m_options.requested_states)
            break;
        result.digests.push_back(each->base_digest);
    }
    return result;
}

bool instance_share::knows_state(std::uint64_t digest) const
{
    return has_list() && (digest == m_digest ||
                          std::any_of(m_steps.begin(), m_steps.end(),
                                      [digest](const step& each) { return each.base_digest == digest; }));
}

std::set<instance_id> instance_share::touched_since(std::uint64_t digest) const
{
    std::set<instance_id> touched;
    if (digest == m_digest)
        return touched;
    for (auto each = m_steps.rbegin(); each != m_steps.rend(); ++each) {
        touched.insert(each->touched.begin(), each->touched.end());
        if (each->base_digest == digest)
            break;
    }
    return touched;
}

std::vector<peer::instance_entry> instance_share::entries(monotonic_time now) const
{
    std::vector<peer::instance_entry> result;
    result.reserve(m_records.size());
    for (const auto& [id, value] : m_records)
        result.push_back(entry_at(value, now));
    return result;
}

bool instance_share::put(monotonic_time now, const peer::instance_entry& entry)
{
    const std::uint64_t hash = hash_of(entry);
    record& known = m_records[entry.id];
    if (known.hash == hash)
        return false;
    m_digest += hash - known.hash;
    known.entry = entry;
    known.hash = hash;
    known.gone_at.reset();
    if (entry.leaves_in)
        known.gone_at = now + *entry.leaves_in;
    return true;
}

bool instance_share::remove(const instance_id& id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return false;
    m_digest -= found->second.hash;
    m_records.erase(found);
    return true;
}

std::vector<instance_id> instance_share::replace_all(monotonic_time now,
                                                     const std::vector<peer::instance_entry>& entries)
{
    std::vector<instance_id> touched;
    std::set<instance_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        if (put(now, entry))
            touched.push_back(entry.id);
    }
    std::vector<instance_id> gone;
    for (const auto& [id, value] : m_records) {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    for (const auto& id : gone) {
        remove(id);
        touched.push_back(id);
    }
    return touched;
}

void instance_share::remember(std::uint64_t base_digest, std::vector<instance_id> touched)
{
    m_steps.push_back({base_digest, std::move(touched)});
    if (m_steps.size() > m_options.remembered_steps)
        m_steps.pop_front();
}

void instance_share::heard(monotonic_time now, std::mt19937_64& random)
{
    m_next_own_read = now + m_options.silence_limit + random_below(m_options.silence_jitter, random);
}

void instance_share::schedule_read(monotonic_time now, std::mt19937_64& random)
{
    m_next_read = now + m_options.read_period + random_below(m_options.read_jitter, random);
    heard(now, random);
}

peer::instance_changes instance_share::describe(std::uint64_t base_digest) const
{
    peer::instance_changes changes;
    changes.version = m_version;
    changes.base_digest = base_digest;
    changes.digest = m_digest;
    changes.tag = m_tag;
    return changes;
}

peer::instance_entry instance_share::entry_at(const record& value, monotonic_time now)
{
    auto entry = value.entry;
    if (value.gone_at) {
        const auto left = std::chrono::duration_cast<milliseconds>(*value.gone_at - now);
        entry.leaves_in = std::max(left, milliseconds(0));
    }
    return entry;
}

void instance_share::describe_touched(monotonic_time now, const std::vector<instance_id>& touched,
                                      peer::instance_changes& changes) const
{
    for (const auto& id : touched) {
        const auto found = m_records.find(id);
        if (found == m_records.end())
            changes.removed.push_back(id);
        else
            changes.put.push_back(entry_at(found->second, now));
    }
}

} // namespace siskinwharf::membership
