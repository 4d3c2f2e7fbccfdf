#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/endpoint_list_cache.h"

namespace siskinwharf::dispatch {

namespace {

endpoint_record record(const std::string& id, bool is_leaving = false)
{
    endpoint_record result;
    result.id = endpoint_id(id);
    result.is_leaving = is_leaving;
    return result;
}

} // namespace

TEST_CASE("an entry that disappears while the store is available is removed at once")
{
    endpoint_list_cache cache;
    cache.replace({record("a"), record("b")}, {});
    cache.remove(endpoint_id("a"), {});
    CHECK(cache.current({}).size() == 1);
}

TEST_CASE("entries that expired during an outage are kept until their endpoints had time to register again")
{
    endpoint_list_cache cache;
    const monotonic_time start{};
    cache.replace({record("a"), record("b"), record("c", true)}, start);
    cache.on_store_disconnected(start + seconds(1));
    cache.on_store_reconnected(start + seconds(6));
    cache.replace({record("b")}, start + seconds(6));
    CHECK(cache.current(start + seconds(7)).size() == 2); // The leaving endpoint is not kept.
    cache.update(record("a"));
    CHECK(cache.current(start + seconds(20)).size() == 2);
}

TEST_CASE("an entry whose endpoint does not register again after an outage is removed")
{
    endpoint_list_cache cache;
    const monotonic_time start{};
    cache.replace({record("a"), record("b")}, start);
    cache.on_store_disconnected(start);
    cache.on_store_reconnected(start + seconds(6));
    cache.remove(endpoint_id("a"), start + seconds(7));
    REQUIRE(cache.next_expiry().has_value());
    CHECK(*cache.next_expiry() == start + seconds(6) + endpoint_list_cache::reregistration_time);
    CHECK(cache.current(*cache.next_expiry()).size() == 1);
}

} // namespace siskinwharf::dispatch
