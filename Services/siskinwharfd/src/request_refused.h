#pragma once

#include <stdexcept>
#include <utility>

#include "siskinwharf/http/refusal.h"

namespace siskinwharf::entry {

/// Ends the handling of a request with a typed refusal.
class request_refused : public std::runtime_error {
public:
    explicit request_refused(http::refusal reason)
        : std::runtime_error(reason.message), m_reason(std::move(reason))
    {
    }

    [[nodiscard]] const http::refusal& reason() const { return m_reason; }

private:
    http::refusal m_reason;
};

} // namespace siskinwharf::entry
