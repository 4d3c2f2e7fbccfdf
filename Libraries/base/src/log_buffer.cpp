#include "siskinwharf/base/log_buffer.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace siskinwharf {

namespace {

bool is_writable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

void log_buffer::add(int event_number, std::string_view line)
{
    if (m_text.size() + line.size() > capacity) {
        ++m_dropped[event_number];
        return;
    }
    m_text.append(line);
}

void log_buffer::flush()
{
    std::size_t written = 0;
    // A pipe that is writable takes at least PIPE_BUF bytes without waiting.
    while (written < m_text.size() && is_writable(m_descriptor)) {
        const auto size = std::min<std::size_t>(m_text.size() - written, PIPE_BUF);
        const auto result = write(m_descriptor, m_text.data() + written, size);
        if (result < 0 && errno == EINTR)
            continue;
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    m_text.erase(0, written);
}

std::map<int, std::uint64_t> log_buffer::take_dropped()
{
    return std::exchange(m_dropped, {});
}

} // namespace siskinwharf
