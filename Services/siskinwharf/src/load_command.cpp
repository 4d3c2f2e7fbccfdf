#include <fstream>
#include <string>

#include <fmt/core.h>

#include "command.h"
#include "load_generator.h"
#include "options.h"

namespace siskinwharf::cli {

namespace {

/// Reads `key:weight,key:weight`. Throws `usage_error`.
std::vector<load_account> parse_accounts(const std::string& text)
{
    std::vector<load_account> result;
    std::size_t start = 0;
    while (start < text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto item = text.substr(start, end - start);
        const auto colon = item.find(':');
        load_account account{item.substr(0, colon), 1};
        if (colon != std::string::npos) {
            try {
                account.weight = std::stod(item.substr(colon + 1));
            } catch (const std::exception&) {
                throw usage_error("'" + item + "' is not <key>:<weight>");
            }
        }
        result.push_back(std::move(account));
        start = end + 1;
    }
    if (result.empty())
        throw usage_error("--accounts names no account");
    return result;
}

} // namespace

int load_command(int count, const char** arguments)
{
    load_options load;
    std::string targets;
    std::string accounts;
    std::string executions;
    std::string report_path;
    int verify = 0;
    options line("load", "");
    line.add("targets", "caller addresses of entry processes, separated by commas", targets);
    line.add("accounts", "API keys with their shares of the load, <key>:<weight>,...", accounts);
    line.add("model", "model to ask", load.model);
    line.add("service", "plain service for the non-idempotent calls", load.service);
    line.add("call-path", "path of the non-idempotent calls", load.call_path);
    line.add("executions", "addresses of service stand-ins that count executions", executions);
    line.add("rate", "requests a second", load.rate);
    line.add("duration", "seconds", load.duration_s);
    line.add("call-share", "share of the requests that are non-idempotent calls", load.call_share);
    line.add("streaming-share", "share of the model requests that are streamed", load.streaming_share);
    line.add("prefixes", "different prompt prefixes of an account", load.prefixes);
    line.add("prefix-words", "words of a prefix", load.prefix_words);
    line.add("question-words", "words of a prompt after its prefix", load.question_words);
    line.add("output-tokens", "tokens of an answer", load.output_tokens);
    line.add("deadline-ms", "deadline of a request", load.deadline_ms);
    line.add("seed", "seed of the arrivals", load.seed);
    line.add("report", "file for the report as JSON", report_path);
    line.add_flag("verify", "compare each token with the one the engine stand-in must produce", verify);
    if (!line.parse(count, arguments).empty() || targets.empty() || accounts.empty() || load.model.empty())
        throw usage_error("load takes --targets, --accounts and --model");
    load.targets = parse_addresses(targets);
    load.accounts = parse_accounts(accounts);
    if (!executions.empty())
        load.executions = parse_addresses(executions);
    load.verify_standin_tokens = verify != 0;
    load_generator generator(load);
    const auto report = generator.run();
    fmt::print("{}", to_table(report));
    if (!report_path.empty())
        std::ofstream(report_path) << to_json(report) << "\n";
    return report.holds() ? exit_success : exit_failure;
}

} // namespace siskinwharf::cli
