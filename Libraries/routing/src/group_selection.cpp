#include "group_selection.h"

#include <algorithm>
#include <cmath>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::routing {

namespace {

// Groups of up to this many endpoints are scanned completely; a failure domain has 88 endpoints at the
// projected scale. Larger groups are sampled, so that the time of a decision does not depend on the group
// size.
constexpr std::size_t sample_size = 128;
// Number of block hashes that are looked up, starting from the last block of the prompt. A conversation adds
// a few blocks with each turn, so its cached prefix usually ends there.
constexpr std::size_t max_hint_lookups = 16;

/// Whether the endpoint stays within the bounded load of its capacity with one more stream.
bool within_bound(const endpoint_entry& entry, double load_per_slot_limit)
{
    return entry.load->streams() + 1 <= std::ceil(load_per_slot_limit * entry.capacity);
}

/// Streams as a share of the capacity. An endpoint without capacity counts as full.
double relative_load(const endpoint_entry& entry)
{
    return entry.capacity == 0 ? 1.0 : static_cast<double>(entry.load->streams()) / entry.capacity;
}

} // namespace

std::uint32_t usable_capacity(const endpoint_entry& entry, const routing_options& options, monotonic_time now)
{
    const bool reports = std::holds_alternative<model_target>(entry.info->serves);
    const bool is_recent = entry.load->last_report_sequence() != 0 &&
                           now - entry.load->last_report_at() <= options.report_lifetime;
    if (!reports || is_recent || options.unreported_capacity_divisor <= 1)
        return entry.capacity;
    // The streams of other processes come from the last report and may have ended since, so they are not
    // deducted from this process's part of the capacity.
    return entry.load->other_streams() + std::max(entry.capacity / options.unreported_capacity_divisor, 1U);
}

group_selection::group_selection(const prepared_request& prepared, const endpoint_group& group,
                                 nanoseconds round_trip)
    : m_prepared(prepared), m_group(group), m_round_trip(round_trip)
{
}

std::optional<selection> group_selection::select()
{
    return std::visit(*this, m_prepared.options.policy);
}

std::optional<selection> group_selection::operator()(const prefix_affinity& policy)
{
    std::uint64_t streams = 1;
    std::uint64_t capacity = 0;
    for (const auto& entry : sample()) {
        streams += entry.load->streams();
        capacity += entry.capacity;
    }
    if (capacity == 0)
        return std::nullopt;
    const double bound = policy.load_factor * static_cast<double>(streams) / static_cast<double>(capacity);
    if (auto hinted = select_hinted(bound))
        return hinted;
    if (auto found = select_on_ring(bound))
        return found;
    // Every endpoint within the load bound is excluded, full or too slow, so the bound is given up.
    return (*this)(least_in_flight{});
}

std::optional<selection> group_selection::operator()(const round_robin&)
{
    const auto& endpoints = m_group.endpoints;
    for (std::size_t step = 0; step < endpoints.size(); ++step) {
        if (auto found = select_if_suitable(endpoints[(m_prepared.request_number + step) % endpoints.size()]))
            return found;
    }
    return std::nullopt;
}

std::optional<selection> group_selection::operator()(const least_in_flight&)
{
    std::optional<selection> best;
    double best_load = 0;
    for (const auto& entry : sample()) {
        const double load = relative_load(entry);
        if (best && load >= best_load)
            continue;
        if (auto found = select_if_suitable(entry)) {
            best = found;
            best_load = load;
        }
    }
    return best;
}

std::span<const endpoint_entry> group_selection::sample() const
{
    const std::span<const endpoint_entry> all(m_group.endpoints);
    if (all.size() <= sample_size)
        return all;
    // The endpoints are sorted by the hash of their id, so any contiguous range is a random sample.
    return all.subspan(mix64(m_prepared.request_number) % (all.size() - sample_size + 1), sample_size);
}

bool group_selection::excluded(const endpoint_entry& entry) const
{
    const auto& keys = m_prepared.excluded_keys;
    return std::find(keys.begin(), keys.end(), entry.key) != keys.end();
}

std::optional<selection> group_selection::select_if_suitable(const endpoint_entry& entry,
                                                             std::uint32_t cached_blocks)
{
    if (excluded(entry))
        return std::nullopt;
    m_saw_endpoint = true;
    if (entry.load->streams() >= usable_capacity(entry, m_prepared.options, m_prepared.now))
        return std::nullopt;
    m_saw_free_slot = true;
    const auto& request = m_prepared.request;
    auto first_token = m_round_trip;
    // An endpoint without a known prefill rate passes the first-token check. Otherwise a new endpoint would
    // never receive a request.
    const auto queued = entry.load->queued_prompt_tokens();
    double rate = entry.load->prefill_rate();
    // The observed rate underestimates the endpoint after short prompts, so it is used only when prompt
    // tokens are queued.
    if (rate <= 0 && queued > 0)
        rate = entry.load->observed_prefill_rate();
    if (rate > 0) {
        const auto cached = std::uint64_t{cached_blocks} * m_prepared.options.prompt_tokens_per_block;
        const auto missing = request.prompt_tokens > cached ? request.prompt_tokens - cached : 0;
        const double wait = static_cast<double>(queued + missing) / rate;
        first_token += std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(wait));
    }
    if (request.first_token_target.count() > 0 && first_token > request.first_token_target)
        return std::nullopt;
    return selection{&entry, cached_blocks, first_token};
}

std::optional<selection> group_selection::select_hinted(double load_per_slot_limit)
{
    const auto& hashes = m_prepared.request.prefix_hashes;
    const std::size_t lookups = std::min(hashes.size(), max_hint_lookups);
    for (std::size_t step = 0; step < lookups; ++step) {
        const auto blocks = hashes.size() - step;
        const auto hint = m_prepared.hints.find(hashes[blocks - 1]);
        if (!hint)
            continue;
        const auto* entry = m_group.find(hint->endpoint_key);
        if (entry == nullptr || entry->load->hint_generation() != hint->generation ||
            !within_bound(*entry, load_per_slot_limit))
            continue;
        if (auto found = select_if_suitable(*entry, static_cast<std::uint32_t>(blocks)))
            return found;
    }
    return std::nullopt;
}

std::optional<selection> group_selection::select_on_ring(double load_per_slot_limit)
{
    const auto& ring = m_group.ring;
    auto point = std::ranges::lower_bound(ring, m_prepared.affinity_key, {}, &ring_point::position);
    const std::size_t steps = std::min(ring.size(), 2 * sample_size);
    for (std::size_t step = 0; step < steps; ++step, ++point) {
        if (point == ring.end())
            point = ring.begin();
        const auto& entry = m_group.endpoints[point->index];
        if (!within_bound(entry, load_per_slot_limit))
            continue;
        if (auto found = select_if_suitable(entry))
            return found;
    }
    return std::nullopt;
}

} // namespace siskinwharf::routing
