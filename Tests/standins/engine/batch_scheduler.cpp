#include "batch_scheduler.h"

#include <algorithm>

#include "answer_check.h"

namespace siskinwharf::standins {

namespace {

/// Keeps the time of a step finite, in tokens per second.
constexpr double lowest_prefill_rate = 0.001;

bool served_before(const std::shared_ptr<engine_stream>& left, const std::shared_ptr<engine_stream>& right)
{
    return left->priority != right->priority ? left->priority > right->priority
                                             : left->arrival < right->arrival;
}

} // namespace

batch_scheduler::batch_scheduler(const engine_options& options)
    : m_options(options), m_cache(static_cast<std::size_t>(std::max<std::int64_t>(options.cache_blocks, 0)))
{
}

bool batch_scheduler::has_room() const
{
    return m_batch.size() + m_queue.size() <
           static_cast<std::size_t>(m_options.capacity + m_options.queue_limit);
}

void batch_scheduler::add(std::shared_ptr<engine_stream> stream)
{
    stream->phase = stream_phase::queued;
    const auto position = std::upper_bound(m_queue.begin(), m_queue.end(), stream, served_before);
    m_queue.insert(position, std::move(stream));
}

void batch_scheduler::remove(const engine_stream& stream)
{
    const auto is_stream = [&stream](const auto& entry) {
        return entry.get() == &stream;
    };
    std::erase_if(m_batch, is_stream);
    std::erase_if(m_queue, is_stream);
}

void batch_scheduler::start(engine_stream& stream)
{
    stream.phase = stream_phase::prefill;
    const std::uint64_t total = stream.context.size();
    if (stream.has_kv_cache) {
        stream.prefill_left = 0;
        return;
    }
    const auto blocks = block_hashes(stream.model, stream.version, stream.context);
    const std::uint64_t cached = m_cache.match(blocks) * tokens_per_block;
    stream.prefill_left = total - cached;
    m_counters.cached += cached;
}

void batch_scheduler::fill_batch()
{
    while (!m_queue.empty() && m_batch.size() < static_cast<std::size_t>(m_options.capacity)) {
        start(*m_queue.front());
        const auto position =
            std::upper_bound(m_batch.begin(), m_batch.end(), m_queue.front(), served_before);
        m_batch.insert(position, m_queue.front());
        m_queue.erase(m_queue.begin());
    }
}

nanoseconds batch_scheduler::begin_step()
{
    fill_batch();
    m_step_prefills.clear();
    m_step_decodes.clear();
    auto budget = static_cast<std::uint64_t>(m_options.prefill_chunk_tokens);
    std::uint64_t prefilled = 0;
    for (const auto& stream : m_batch) {
        if (stream->phase == stream_phase::decode) {
            m_step_decodes.push_back(stream);
            continue;
        }
        const std::uint64_t share = std::min(budget, stream->prefill_left);
        budget -= share;
        prefilled += share;
        m_step_prefills.emplace_back(stream, share);
    }
    double milliseconds_taken = static_cast<double>(prefilled) * 1000.0 /
                                std::max(m_options.prefill_tokens_per_second, lowest_prefill_rate);
    if (!m_step_decodes.empty()) {
        const auto further = static_cast<double>(m_step_decodes.size() - 1);
        milliseconds_taken += m_options.decode_ms_per_token * (1.0 + m_options.batch_slowdown * further);
    }
    return nanoseconds(static_cast<std::int64_t>(milliseconds_taken * 1e6));
}

step_result batch_scheduler::finish_step()
{
    step_result result;
    for (const auto& [stream, share] : m_step_prefills) {
        // A stream that was cancelled during the step has still cost the engine its prefill.
        m_counters.prefilled += share;
        if (stream->first_offset > 0)
            m_counters.recomputed += share;
        else if (stream->attempt > 1)
            m_counters.retried += share;
        if (stream->phase != stream_phase::prefill)
            continue;
        stream->prefill_left -= share;
        if (stream->prefill_left > 0)
            continue;
        const auto changes = m_cache.store(block_hashes(stream->model, stream->version, stream->context));
        result.cache_changes.insert(result.cache_changes.end(), changes.begin(), changes.end());
        stream->phase = stream_phase::decode;
        result.finished_prefill.push_back(stream);
    }
    for (const auto& stream : m_step_decodes) {
        if (stream->phase != stream_phase::decode)
            continue;
        result.advanced.push_back(stream);
        if (stream->answer.size() < stream->max_tokens) {
            stream->answer.push_back(answer_token(stream->prompt, stream->answer.size()));
            ++result.decoded;
        }
        if (stream->answer.size() < stream->max_tokens)
            continue;
        stream->phase = stream_phase::done;
        result.finished.push_back(stream);
    }
    for (const auto& stream : result.finished) {
        auto tokens = split_tokens(stream->prompt);
        tokens.insert(tokens.end(), stream->answer.begin(), stream->answer.end());
        const auto changes = m_cache.store(block_hashes(stream->model, stream->version, tokens));
        result.cache_changes.insert(result.cache_changes.end(), changes.begin(), changes.end());
        remove(*stream);
        stream->context.clear();
    }
    m_counters.decoded += result.decoded;
    return result;
}

} // namespace siskinwharf::standins
