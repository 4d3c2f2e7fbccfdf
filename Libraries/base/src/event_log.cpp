#include "siskinwharf/base/event_log.h"

#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>

#include <unistd.h>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "siskinwharf/base/log_buffer.h"

namespace siskinwharf {

namespace {

std::atomic<event_level> lowest_level{event_level::info};

/// Lines that are written together where batching is on.
constexpr std::size_t batch_bytes = 3'500;
std::mutex log_mutex;
bool is_batching = false;
log_buffer log_output{STDOUT_FILENO};

/// Says how many lines of which events were dropped. The mutex is held.
void add_dropped_lines(const std::string& now_text)
{
    for (const auto& [number, count] : log_output.take_dropped()) {
        const auto& kind = event::log_lines_dropped;
        const auto text =
            format_event(kind, {{"event", std::to_string(number)}, {"lines", std::to_string(count)}});
        log_output.add(kind.number, fmt::format("{} {}\n", now_text, text));
    }
}

char level_letter(event_level level)
{
    switch (level) {
    case event_level::debug:
        return 'D';
    case event_level::info:
        return 'I';
    case event_level::warning:
        return 'W';
    case event_level::error:
        return 'E';
    }
    return 'E';
}

bool needs_quotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char character : value) {
        if (character <= ' ' || character == '"' || character == '\\' || character == 0x7F)
            return true;
    }
    return false;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (static_cast<unsigned char>(character) < ' ' || character == 0x7F) {
            // Control characters are escaped so that a caller's input cannot forge a log line.
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", static_cast<unsigned char>(character));
        } else {
            line.push_back(character);
        }
    }
    line.push_back('"');
}

} // namespace

void set_event_level(event_level lowest)
{
    lowest_level.store(lowest, std::memory_order_relaxed);
}

std::string format_event(const event_kind& kind, std::initializer_list<event_field> fields)
{
    std::string line = fmt::format("{}{} {}", level_letter(kind.level), kind.number, kind.name);
    for (const auto& [name, value] : fields) {
        line.push_back(' ');
        line.append(name);
        line.push_back('=');
        append_value(line, value);
    }
    return line;
}

void log_event(const event_kind& kind, std::initializer_list<event_field> fields)
{
    if (kind.level < lowest_level.load(std::memory_order_relaxed))
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds_part = now.time_since_epoch().count() % 1000;
    const std::string now_text =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                    milliseconds_part);
    const std::string line = fmt::format("{} {}\n", now_text, format_event(kind, fields));
    const std::scoped_lock lock(log_mutex);
    if (log_output.has_dropped() && log_output.waiting() < log_buffer::capacity / 2)
        add_dropped_lines(now_text);
    log_output.add(kind.number, line);
    const bool is_urgent = kind.level >= event_level::warning || !is_batching;
    if (is_urgent || log_output.waiting() >= batch_bytes)
        log_output.flush();
}

void set_event_batching(bool is_on)
{
    const std::scoped_lock lock(log_mutex);
    is_batching = is_on;
}

void flush_events()
{
    const std::scoped_lock lock(log_mutex);
    log_output.flush();
}

} // namespace siskinwharf
