#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "siskinwharf/base/event.h"

namespace siskinwharf {

/// One named value of a log event.
struct event_field {
    std::string_view name;
    std::string value;
};

/// Sets the lowest level that is written. The default is `info`.
void set_event_level(event_level lowest);

/// Returns one log line without its time: `I400 endpoint_added endpoint=m-3 model=dough-7b`.
[[nodiscard]] std::string format_event(const event_kind& kind, std::initializer_list<event_field> fields);

/// Writes one line to standard output, or drops it if the reader does not keep up: UTC time, level and
/// number, name, then `name=value` fields. Values with spaces, quotes or control characters are quoted. Safe
/// to call from several threads.
void log_event(const event_kind& kind, std::initializer_list<event_field> fields = {});

/// With batching, lines below the level of a warning are written some kilobytes at a time or with
/// `flush_events`.
void set_event_batching(bool is_on);
/// Writes the lines that wait, as far as the reader takes them without delay.
void flush_events();

} // namespace siskinwharf
