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
    state.usage = {{state.process, state.start, 353'445'120, {{account_id("bakery"), 412}}}};
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
