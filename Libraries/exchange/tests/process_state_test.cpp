#include <catch2/catch.hpp>

#include "siskinwharf/exchange/exchange_error.h"
#include "siskinwharf/exchange/process_state.h"

namespace siskinwharf::exchange {

namespace {

process_state make_state()
{
    process_state state;
    state.process = instance_id("entry-1");
    state.start = 0xFFFF'FFFF'FFFF'FFFFULL;
    state.sequence = 12;
    state.wall = usage::wall_time(milliseconds(1'764'000'000'000));
    state.uptime = milliseconds(12'000);
    state.configuration_version = 9;
    state.list_version = 412;
    state.port = 7600;
    state.is_leaving = true;
    state.lease_number = 3;
    state.domain = failure_domain_id("kingston-a");
    state.loads = {{endpoint_id("e-1"), 4, 12'000}};
    state.accounts = {{account_id("bakery"), 2'000'000, 311'115}};
    state.services = {{service_id("plans"), 90'000, 17}};
    state.crashes = {{{account_id("bakery"), "00ff"}, {1, 0xFFFF'FFFF'FFFF'FFFEULL}, milliseconds(600'000)}};
    return state;
}

} // namespace

TEST_CASE("a state message is read back as it was sent")
{
    CHECK(decode(encode(make_state())) == message(make_state()));
}

TEST_CASE("an update for near peers is read back as it was sent and is never taken for a state")
{
    const near_update update{instance_id("entry-1"), 7, {{endpoint_id("e-1"), 4, 12'000}}, 9, 412, true,
                             milliseconds(250)};
    CHECK(decode(encode(update)) == message(update));
}

TEST_CASE("usage is read back as it was sent, in as many messages as fit into packets")
{
    const instance_id process("entry-1");
    std::vector<usage::usage_entry> entries;
    for (int window = 0; window < 4; ++window) {
        usage::usage_entry entry{process, 7, 353'445'120 + window, {}};
        for (int account = 0; account < 40; ++account)
            entry.counts[account_id("account-" + std::to_string(account))] = 100'000U + account;
        entries.push_back(entry);
    }
    std::vector<usage::usage_entry> received;
    for (const auto& update : usage_updates(process, 7, entries)) {
        CHECK(encode(update).size() <= packet_size);
        const auto decoded = std::get<usage_update>(decode(encode(update)));
        CHECK(decoded == update);
        received.insert(received.end(), decoded.usage.begin(), decoded.usage.end());
    }
    CHECK(received == entries);
}

TEST_CASE("a state with requests at many endpoints fits into a packet")
{
    // Guards against datagrams that are lost because they need fragments.
    auto state = make_state();
    constexpr int endpoints = 90;
    std::vector<dispatch::endpoint_load> loads;
    loads.reserve(endpoints);
    for (int endpoint = 0; endpoint < endpoints; ++endpoint)
        loads.push_back({endpoint_id("i-" + std::to_string(1'000'000'000 + endpoint)), 7,
                         static_cast<std::uint64_t>(endpoint) * 1'000});
    state.loads = told_loads(loads);
    state.accounts.clear();
    for (int account = 0; account < 16; ++account)
        state.accounts.push_back({account_id("account" + std::to_string(account)), 9'000'000, 900'000});
    CHECK(encode(state).size() <= packet_size);
    CHECK(state.loads.size() == most_told_loads);
    CHECK(state.loads.front().waiting_tokens == 89'000);
}

TEST_CASE("damaged datagrams are an error and never a state")
{
    const near_update update{instance_id("entry-1"), 7, {{endpoint_id("e-1"), 4, 12'000}}, 9, 412, true,
                             milliseconds(250)};
    const auto datagram = GENERATE_COPY(encode(make_state()), encode(update));
    CHECK_THROWS_AS(decode(""), exchange_error);
    CHECK_THROWS_AS(decode("hello"), exchange_error);
    CHECK_THROWS_AS(decode(datagram + "x"), exchange_error);
    for (std::size_t size = 0; size < datagram.size(); ++size)
        CHECK_THROWS_AS(decode(std::string_view(datagram).substr(0, size)), exchange_error);
}

} // namespace siskinwharf::exchange
