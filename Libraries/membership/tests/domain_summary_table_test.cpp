#include <catch2/catch.hpp>

#include "siskinwharf/membership/domain_summary_table.h"

namespace siskinwharf::membership {

namespace {

peer::domain_summary summary_of(const std::string& domain, std::uint64_t sequence)
{
    return {failure_domain_id(domain), sequence, {{model_id("dough-7b"), "v1", 3, 12, 40}}};
}

} // namespace

TEST_CASE("a newer summary wins, and an expired one does not come back through a peer")
{
    domain_summary_table table(failure_domain_id("kingston"));
    const monotonic_time start;
    const monotonic_time late = start + summary_lifetime + milliseconds(1);
    table.receive(start, peer::summary_reply{{summary_of("ocho", 5), summary_of("kingston", 99)}});
    table.receive(start, peer::summary_reply{{summary_of("ocho", 4)}});
    CHECK(table.summaries(start) == std::vector{summary_of("ocho", 5)});
    table.receive(late, peer::summary_reply{{summary_of("ocho", 5)}});
    CHECK(table.summaries(late).empty());
    CHECK(table.receive(late, peer::summary_request{summary_of("montego", 1), {}}).newer.empty());
    table.receive(late, peer::summary_reply{{summary_of("ocho", 6)}});
    CHECK(table.summaries(late) == std::vector{summary_of("montego", 1), summary_of("ocho", 6)});
}

TEST_CASE("summaries of 26 failure domains reach every domain, and exchanges carry only newer ones")
{
    constexpr std::size_t domains = 26;
    std::mt19937_64 random(1);
    std::vector<domain_summary_table> tables;
    std::vector<std::vector<remote_instance>> remotes(domains);
    for (std::size_t self = 0; self < domains; ++self) {
        tables.emplace_back(failure_domain_id(std::to_string(self)));
        tables.back().set_own({{model_id("dough-7b"), "v1", 3, 12, 40}}, 1000);
        for (std::size_t other = 0; other < domains; ++other) {
            if (other != self) {
                const auto name = std::to_string(other);
                remotes[self].push_back({failure_domain_id(name), instance_id(name), {}});
            }
        }
    }
    const auto exchange = [&](monotonic_time now) {
        std::size_t sent = 0;
        for (std::size_t self = 0; self < domains; ++self) {
            const auto request = tables[self].tick(now, random, remotes[self]);
            if (!request)
                continue;
            const auto recipient = std::stoul(request->recipient.value());
            const auto reply = tables[recipient].receive(now, std::get<peer::summary_request>(request->body));
            sent += reply.newer.size();
            tables[self].receive(now, reply);
        }
        return sent;
    };
    monotonic_time now;
    for (; now < monotonic_time() + summary_lifetime; now += milliseconds(100))
        exchange(now);
    for (const auto& table : tables)
        CHECK(table.summaries(now).size() == domains - 1);
    // Nobody has made a new summary, so nothing is left to send.
    std::size_t sent = 0;
    for (int step = 0; step < 50; ++step)
        sent += exchange(now - milliseconds(step));
    CHECK(sent == 0);
}

} // namespace siskinwharf::membership
