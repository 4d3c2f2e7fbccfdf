#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <popt.h>

namespace siskinwharf::cli {

/// Options of one command, read with popt.
class options {
public:
    /// `usage` names the arguments after the options, for example `SHEET.csv`.
    options(std::string command, std::string usage);

    void add(const char* name, const char* description, std::string& target);
    void add(const char* name, const char* description, std::int64_t& target);
    void add(const char* name, const char* description, double& target);
    void add_flag(const char* name, const char* description, int& target);

    /// Stores the values and returns the other arguments. `--help` prints the options and exits. Throws
    /// `usage_error`.
    std::vector<std::string> parse(int count, const char** arguments);

private:
    struct string_target {
        std::string* target;
        char* value;
    };

    std::string m_command;
    std::string m_usage;
    std::vector<poptOption> m_options;
    // A deque keeps the addresses that popt writes to.
    std::deque<string_target> m_strings;
};

} // namespace siskinwharf::cli
