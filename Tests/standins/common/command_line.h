#pragma once

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>
#include <vector>

#include <popt.h>

namespace siskinwharf::standins {

/// An unknown option or a malformed value.
class command_line_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Command line of `--name value` options. Targets keep their value, the default, if an option is not given.
class command_line {
public:
    void add(const char* name, const char* description, std::string& target);
    void add(const char* name, const char* description, std::int64_t& target);
    void add(const char* name, const char* description, double& target);

    /// Stores the values into the targets. `--help` prints the options and exits. Throws
    /// `command_line_error`.
    void parse(int count, const char** arguments);

private:
    struct string_target {
        std::string* target;
        char* value;
    };

    std::vector<poptOption> m_options;
    // A deque keeps the addresses that popt writes to.
    std::deque<string_target> m_strings;
};

} // namespace siskinwharf::standins
