// Measures the control messages of one failure domain in virtual time, encoded with the real codec: bytes and
// CPU time for each node. CPU time includes both ends of each message, HMAC, and the simulation itself.
#include <algorithm>
#include <ctime>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "siskinwharf/membership/domain_summary_table.h"
#include "siskinwharf/membership/polling.h"
#include "siskinwharf/peer/frame.h"
#include "virtual_network.h"

namespace siskinwharf::membership {

namespace {

constexpr std::size_t endpoint_count = 88; // For each failure domain at full scale.
constexpr std::size_t domain_count = 26;
constexpr std::size_t rows_per_summary = 10;
constexpr double report_size = 100;         // Bytes of a whole load report, as on the design page.
constexpr double datagram_header_size = 28; // IPv4 and UDP.
constexpr int measured_seconds = 300;
const std::string key(32, 'k');

double cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// Encodes and decodes one message and returns its size with packet headers.
double transfer(const instance_id& sender, const instance_id& recipient, const peer::message& body,
                delivery how)
{
    static std::uint64_t sequence = 1'796'000'000'000'000;
    const bool datagram = how == delivery::datagram;
    const std::size_t limit = datagram ? peer::datagram_limit : peer::stream_frame_limit;
    const auto bytes =
        std::get<std::string>(peer::encode({sender, ++sequence, 0, body}, key, recipient, limit));
    const auto decoded = peer::decode(bytes, key, recipient, limit);
    if (!std::holds_alternative<peer::frame>(decoded))
        throw std::logic_error("a frame does not decode");
    return static_cast<double>(bytes.size()) + (datagram ? datagram_header_size : 0);
}

struct cost {
    double bytes = 0; ///< Sent by each node in a second. Each node receives as much on average.
    double cpu = 0;   ///< Share of a core.
    double messages = 0;
};

void print(std::string_view what, std::size_t members, const cost& value)
{
    fmt::print("| {} | {} | {:.1f} | {:.0f} | {:.4f}% |\n", what, members, value.messages, value.bytes,
               value.cpu * 100);
}

cost measure_probes(std::size_t size, double loss)
{
    virtual_network network(size, loss, 1);
    network.list(virtual_network::list_of(size));
    network.run(seconds(60));
    cost total;
    network.on_send = [&](std::size_t sender, const outgoing_message& message) {
        total.bytes += transfer(virtual_network::id_of(sender), message.recipient, message.body, message.how);
        ++total.messages;
    };
    const double start = cpu_seconds();
    network.run(seconds(measured_seconds));
    const double scale = 1.0 / static_cast<double>(size) / measured_seconds;
    return {total.bytes * scale, (cpu_seconds() - start) * scale, total.messages * scale};
}

// One second of load reports: each of `size` members sends the loads that it polls to `recipients` others.
cost measure_loads(std::size_t size, std::size_t recipients)
{
    std::vector<instance_id> members(size);
    for (std::size_t index = 0; index < size; ++index)
        members[index] = virtual_network::id_of(index);
    std::vector<endpoint_id> endpoints(endpoint_count);
    for (std::size_t index = 0; index < endpoint_count; ++index)
        endpoints[index] = endpoint_id("kingston-m-" + std::to_string(index));
    constexpr int rounds = 10;
    cost total;
    const double start = cpu_seconds();
    for (int round = 0; round < rounds; ++round) {
        for (const auto& self : members) {
            peer::load_report report;
            for (const auto& endpoint : polled_endpoints(self, members, endpoints)) {
                // After a day of polling; loads of a busy engine.
                const auto load = peer::endpoint_key(endpoint);
                report.loads.push_back({load, load % 100, load % 30, 86'400U + static_cast<unsigned>(round)});
            }
            for (std::size_t index = 0; index < recipients; ++index) {
                total.bytes += transfer(self, members[index % size], report, delivery::datagram);
                ++total.messages;
            }
        }
    }
    const double scale = 1.0 / static_cast<double>(size) / rounds;
    return {total.bytes * scale, (cpu_seconds() - start) * scale, total.messages * scale};
}

std::vector<peer::summary_row> rows_at(std::uint64_t time)
{
    std::vector<peer::summary_row> rows;
    for (std::size_t index = 0; index < rows_per_summary; ++index) {
        rows.push_back({model_id("dough-7b-" + std::to_string(index)), "2026-11-03",
                        static_cast<std::uint32_t>(9 + index), static_cast<std::uint32_t>(time % 1000), 240});
    }
    return rows;
}

struct summary_cost {
    cost total;
    std::vector<double> ages; ///< Seconds since each summary was made, at all nodes, sorted.
};

// All nodes of all failure domains; each renews its own domain's summary before it gives it away.
summary_cost measure_summaries(std::size_t size)
{
    constexpr std::uint64_t start_time = 1'796'000'000'000;
    constexpr int warm_up_ms = 60'000;
    constexpr int run_ms = 120'000;
    std::mt19937_64 random(1);
    std::vector<domain_summary_table> tables;
    std::vector<std::vector<remote_instance>> remotes(domain_count);
    for (std::size_t node = 0; node < domain_count * size; ++node) {
        const failure_domain_id domain("domain-" + std::to_string(node / size));
        tables.emplace_back(domain);
        for (std::size_t other = 0; other < domain_count; ++other) {
            if (other != node / size)
                remotes[other].push_back({domain, instance_id("entry-" + std::to_string(node)), {}});
        }
    }
    summary_cost result;
    double start = 0;
    monotonic_time now;
    for (int time = 0; time < warm_up_ms + run_ms; time += 100, now += milliseconds(100)) {
        if (time == warm_up_ms) {
            start = cpu_seconds();
            result.total = {};
        }
        for (std::size_t node = 0; node < tables.size(); ++node) {
            const auto unix_time = start_time + static_cast<std::uint64_t>(time);
            tables[node].set_own(rows_at(unix_time), unix_time);
            const auto request = tables[node].tick(now, random, remotes[node / size]);
            if (!request)
                continue;
            const instance_id self("entry-" + std::to_string(node));
            const auto recipient = std::stoul(request->recipient.value().substr(6));
            const auto reply = tables[recipient].receive(now, std::get<peer::summary_request>(request->body));
            tables[node].receive(now, reply);
            result.total.bytes += transfer(self, request->recipient, request->body, delivery::request) +
                                  transfer(request->recipient, self, reply, delivery::reply);
            result.total.messages += 2;
        }
    }
    const double scale = 1000.0 / static_cast<double>(tables.size()) / run_ms;
    result.total.cpu = (cpu_seconds() - start) * scale;
    result.total.bytes *= scale;
    result.total.messages *= scale;
    const auto end = static_cast<double>(start_time + warm_up_ms + run_ms);
    for (const auto& table : tables) {
        for (const auto& summary : table.summaries(now))
            result.ages.push_back((end - static_cast<double>(summary.sequence)) / 1000);
    }
    std::sort(result.ages.begin(), result.ages.end());
    return result;
}

void run()
{
    fmt::print("| messages | members | messages/s | bytes/s | CPU |\n|---|---|---|---|---|\n");
    std::string notes;
    for (const std::size_t size : {3UL, 14UL, 30UL}) {
        const cost probes = measure_probes(size, 0);
        print("probes and synchronization", size, probes);
        print("probes and synchronization, 5% loss", size, measure_probes(size, 0.05));
        const cost loads = measure_loads(size, size - 1);
        print("load digests in the failure domain", size, loads);
        const auto [summaries, ages] = measure_summaries(size);
        print("domain summaries", size, summaries);
        print("all", size,
              {probes.bytes + loads.bytes + summaries.bytes, probes.cpu + loads.cpu + summaries.cpu,
               probes.messages + loads.messages + summaries.messages});
        print("alternative: load digests to every node", size, measure_loads(size, domain_count * size - 1));
        fmt::print(
            "| alternative: {:.0f} B reports of {} endpoints to every node, calculated | {} | | {:.0f} | |\n",
            report_size, domain_count * endpoint_count, size, report_size * domain_count * endpoint_count);
        notes += fmt::format("{} members: {} of {} summaries known; age median {:.1f} s, 95% {:.1f} s, "
                             "highest {:.1f} s\n",
                             size, ages.size(), (domain_count - 1) * domain_count * size,
                             ages[ages.size() / 2], ages[ages.size() * 95 / 100], ages.back());
    }
    fmt::print("\n{}", notes);
}

} // namespace

} // namespace siskinwharf::membership

int main()
{
    siskinwharf::membership::run();
}
