#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace siskinwharf {

/// Log lines on their way to a file descriptor. Never waits for the reader: lines that do not fit into the
/// buffer are dropped and counted by their event number. Not thread-safe.
class log_buffer {
public:
    /// Bytes that wait for a slow reader at most.
    static constexpr std::size_t capacity = 256U << 10U;

    explicit log_buffer(int descriptor) : m_descriptor(descriptor) {}

    /// Adds a line, with its newline, or drops it.
    void add(int event_number, std::string_view line);
    /// Writes as much as can be written without waiting.
    void flush();
    [[nodiscard]] std::size_t waiting() const { return m_text.size(); }
    /// Dropped lines by event number since they were last taken.
    [[nodiscard]] std::map<int, std::uint64_t> take_dropped();
    [[nodiscard]] bool has_dropped() const { return !m_dropped.empty(); }

private:
    int m_descriptor;
    std::string m_text;
    std::map<int, std::uint64_t> m_dropped;
};

} // namespace siskinwharf
