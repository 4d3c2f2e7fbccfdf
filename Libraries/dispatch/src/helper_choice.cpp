#include "siskinwharf/dispatch/helper_choice.h"

#include <algorithm>
#include <tuple>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::dispatch {

namespace {

/// Time for which a peer that refused, or could not be reached, is left out.
constexpr milliseconds refused_pause{500};
constexpr milliseconds unreachable_pause{2'000};
/// Time for which a peer that has answered is taken to have a path.
constexpr milliseconds trusted_time{2'000};
/// One request in so many may go to a peer that has not answered lately, to find those that have a path.
constexpr std::uint64_t exploring_divisor = 4;

} // namespace

const helper_choice::state& helper_choice::state_of(const instance_id& process) const
{
    static const state unknown;
    const auto found = m_states.find(process);
    return found == m_states.end() ? unknown : found->second;
}

bool helper_choice::may_ask(const helper& peer, const std::vector<helper>& tried, monotonic_time now) const
{
    const bool was_tried =
        std::ranges::any_of(tried, [&](const helper& other) { return other.process == peer.process; });
    return !was_tried && now >= state_of(peer.process).not_before;
}

std::optional<helper> helper_choice::choose(const std::vector<helper>& peers,
                                            const std::vector<helper>& tried, std::uint64_t draw,
                                            monotonic_time now) const
{
    const bool explores = tried.empty() && draw % exploring_divisor == 0;
    const auto rank = [&](const helper& peer) {
        const auto& known = state_of(peer.process);
        const bool is_trusted = known.answered != monotonic_time{} && now - known.answered <= trusted_time;
        // A whole failure domain may be cut off, so the next peer is one of another domain.
        const bool is_same_distance =
            std::ranges::any_of(tried, [&](const helper& other) { return other.distance == peer.distance; });
        return std::tuple(!is_trusted && !explores, is_same_distance, peer.distance, known.running,
                          combine64(draw, hash64(peer.process.value())));
    };
    std::optional<helper> best;
    for (const auto& peer : peers) {
        if (may_ask(peer, tried, now) && (!best || rank(peer) < rank(*best)))
            best = peer;
    }
    return best;
}

void helper_choice::on_started(const instance_id& process)
{
    ++m_states[process].running;
}

void helper_choice::on_ended(const instance_id& process)
{
    auto& known = m_states[process];
    known.running -= known.running > 0 ? 1 : 0;
}

void helper_choice::on_answered(const instance_id& process, monotonic_time now)
{
    m_states[process].answered = now;
}

void helper_choice::on_refused(const instance_id& process, monotonic_time now)
{
    m_states[process].answered = {};
    m_states[process].not_before = now + refused_pause;
}

void helper_choice::on_unreachable(const instance_id& process, monotonic_time now)
{
    m_states[process].answered = {};
    m_states[process].not_before = now + unreachable_pause;
}

} // namespace siskinwharf::dispatch
