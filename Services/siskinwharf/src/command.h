#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "siskinwharf/http/message.h"

namespace siskinwharf::cli {

/// Exit codes; docs/siskinwharf.md lists them.
enum exit_code : int {
    exit_success = 0,
    exit_failure = 1,     ///< The command ran and found a fault or a violated expectation.
    exit_usage = 2,       ///< The command line is wrong.
    exit_rejected = 3,    ///< The sheet has faults.
    exit_conflict = 4,    ///< Another operator's sheet was accepted first.
    exit_unresolved = 5,  ///< The platform did not say whether the sheet was accepted.
    exit_unreachable = 6, ///< A process or the platform does not answer.
};

/// The command line is wrong; the message says how.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads `<ip>:<port>`. Throws `usage_error`.
[[nodiscard]] http::address parse_address(const std::string& text);
/// Reads a list of addresses separated by commas. Throws `usage_error`.
[[nodiscard]] std::vector<http::address> parse_addresses(const std::string& text);
/// Reads a whole file. Throws `usage_error`.
[[nodiscard]] std::string read_file(const std::string& path);

/// Each command takes its own arguments, with its name first, and returns an exit code.
int check_command(int count, const char** arguments);
int check_configuration_command(int count, const char** arguments);
int submit_command(int count, const char** arguments);
int show_command(int count, const char** arguments);
int status_command(int count, const char** arguments);
int load_command(int count, const char** arguments);

} // namespace siskinwharf::cli
