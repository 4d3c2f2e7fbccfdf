#include "siskinwharf/sheet/sheet_register.h"

#include <algorithm>
#include <utility>

#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/sheet_error.h"

namespace siskinwharf::sheet {

namespace {

std::vector<std::string> versions_of(const sheet& sheet, const model_id& model)
{
    std::vector<std::string> result;
    for (const auto& entry : sheet.models) {
        if (entry.model == model)
            result.push_back(entry.version);
    }
    return result;
}

/// A sheet that names the same versions as the one before does not end a rollout, so the preceding versions
/// stay.
std::map<model_id, std::vector<std::string>> preceding_versions(const versioned_sheet& before,
                                                                const sheet& next)
{
    std::map<model_id, std::vector<std::string>> result;
    for (const auto& entry : next.models) {
        auto old = versions_of(before.value, entry.model);
        if (old == versions_of(next, entry.model)) {
            const auto known = before.preceding_versions.find(entry.model);
            old = known == before.preceding_versions.end() ? std::vector<std::string>{} : known->second;
        }
        result.insert_or_assign(entry.model, std::move(old));
    }
    return result;
}

} // namespace

std::vector<std::string> versioned_sheet::serving_versions(const model_id& model) const
{
    auto result = versions_of(value, model);
    const auto preceding = preceding_versions.find(model);
    if (preceding == preceding_versions.end())
        return result;
    for (const auto& old : preceding->second) {
        if (std::ranges::find(result, old) == result.end())
            result.push_back(old);
    }
    return result;
}

sheet_register::sheet_register(monotonic_time started) : m_started(started) {}

sheet_register::~sheet_register()
{
    delete m_holder.load();
}

std::shared_ptr<const versioned_sheet> sheet_register::current() const
{
    // Sequentially consistent order is needed here and in publish(): a writer that sees no reader after it
    // replaced the holder knows that each later reader loads the new one.
    m_readers.fetch_add(1, std::memory_order_seq_cst);
    const holder* const found = m_holder.load(std::memory_order_seq_cst);
    std::shared_ptr<const versioned_sheet> copy = found != nullptr ? *found : nullptr;
    m_readers.fetch_sub(1, std::memory_order_seq_cst);
    return copy;
}

offer_outcome sheet_register::offer(std::uint64_t version, std::string text)
{
    if (version <= this->version())
        return offer_outcome::not_newer;
    auto next = std::make_shared<versioned_sheet>();
    next->version = version;
    try {
        next->value = parse_sheet(text);
    } catch (const sheet_error&) {
        return offer_outcome::invalid;
    }
    next->text = std::move(text);

    const std::lock_guard lock(m_mutex);
    // Another thread may have put a newer version in force while this one parsed.
    if (version <= this->version())
        return offer_outcome::not_newer;
    if (const auto before = current())
        next->preceding_versions = preceding_versions(*before, next->value);
    publish(std::make_unique<const holder>(std::move(next)));
    m_version.store(version, std::memory_order_release);
    m_newest_known = std::max(m_newest_known, version);
    return offer_outcome::in_force;
}

void sheet_register::publish(std::unique_ptr<const holder> next)
{
    if (const holder* const old = m_holder.exchange(next.release(), std::memory_order_seq_cst))
        m_retired.emplace_back(old);
    // Readers stay for a few instructions only. If one is just there, the old holder is freed at the next
    // change.
    if (m_readers.load(std::memory_order_seq_cst) == 0)
        m_retired.clear();
}

void sheet_register::note_table_version(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_table_version = std::max(m_table_version.value_or(0), version);
    m_newest_known = std::max(m_newest_known, version);
}

void sheet_register::note_peer_version(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_newest_known = std::max(m_newest_known, version);
}

std::optional<std::uint64_t> sheet_register::wanted_version() const
{
    const std::lock_guard lock(m_mutex);
    if (m_newest_known <= version())
        return std::nullopt;
    return m_newest_known;
}

void sheet_register::drop_wanted(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    if (m_newest_known == version)
        m_newest_known = std::max(this->version(), m_table_version.value_or(0));
}

bool sheet_register::is_ready(monotonic_time now) const
{
    if (m_is_ready.load(std::memory_order_relaxed))
        return true;
    const std::uint64_t in_force = version();
    if (in_force == 0)
        return false;
    const std::lock_guard lock(m_mutex);
    const bool is_confirmed = m_table_version && in_force >= *m_table_version;
    const bool is_ready_now = is_confirmed || now - m_started >= start_grace;
    if (is_ready_now)
        m_is_ready.store(true, std::memory_order_relaxed);
    return is_ready_now;
}

} // namespace siskinwharf::sheet
