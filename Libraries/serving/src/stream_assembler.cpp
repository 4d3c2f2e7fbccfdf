#include "siskinwharf/serving/stream_assembler.h"

#include <utility>

namespace siskinwharf::serving {

std::uint32_t stream_assembler::begin_attempt()
{
    // The buffered chunks of the previous attempt are dropped, because the new attempt continues after the
    // last token of the answer so far.
    m_reorder_buffer.clear();
    m_end.reset();
    return ++m_attempt;
}

void stream_assembler::restore(std::vector<std::string> tokens, std::uint32_t last_attempt)
{
    m_tokens = std::move(tokens);
    m_attempt = last_attempt;
    m_reorder_buffer.clear();
    m_end.reset();
}

chunk_result stream_assembler::accept(token_chunk chunk)
{
    if (chunk.attempt != m_attempt)
        return chunk_result::superseded;
    if (chunk.offset < m_tokens.size())
        return chunk_result::duplicate;
    if (m_end && chunk.offset >= *m_end)
        return chunk_result::conflict;
    if (chunk.offset >= m_tokens.size() + reorder_window_tokens)
        return chunk_result::too_early;
    if (chunk.offset > m_tokens.size())
        return m_reorder_buffer.emplace(chunk.offset, std::move(chunk.token)).second
                   ? chunk_result::held
                   : chunk_result::duplicate;
    m_tokens.push_back(std::move(chunk.token));
    while (!m_reorder_buffer.empty() && m_reorder_buffer.begin()->first == m_tokens.size()) {
        m_tokens.push_back(std::move(m_reorder_buffer.begin()->second));
        m_reorder_buffer.erase(m_reorder_buffer.begin());
    }
    return chunk_result::delivered;
}

void stream_assembler::finish(std::uint32_t attempt, std::uint64_t end_offset)
{
    if (attempt != m_attempt)
        return;
    m_end = end_offset;
}

} // namespace siskinwharf::serving
