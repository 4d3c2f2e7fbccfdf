#pragma once

#include "entry_core.h"
#include "live_request.h"

namespace siskinwharf::entry {

/// Counts a caller that reads an answer.
class reader_guard {
public:
    explicit reader_guard(live_request& request) : m_request(request) { ++m_request.readers; }
    reader_guard(const reader_guard&) = delete;
    reader_guard& operator=(const reader_guard&) = delete;
    reader_guard(reader_guard&&) = delete;
    reader_guard& operator=(reader_guard&&) = delete;
    ~reader_guard()
    {
        if (--m_request.readers == 0)
            m_request.abandoned_at = now();
    }

private:
    live_request& m_request;
};

} // namespace siskinwharf::entry
