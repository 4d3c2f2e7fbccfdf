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

TEST_CASE("an entry that disappears while the store answers is gone at once")
{
    endpoint_list_cache listing;
    listing.replace({record("a"), record("b")}, {});
    listing.remove(endpoint_id("a"), {});
    CHECK(listing.current({}).size() == 1);
}

TEST_CASE("entries that lapsed in an outage are kept until they had time to return")
{
    endpoint_list_cache listing;
    const monotonic_time start{};
    listing.replace({record("a"), record("b"), record("c", true)}, start);
    listing.on_store_disconnected(start + seconds(1));
    listing.on_store_reconnected(start + seconds(6));
    listing.replace({record("b")}, start + seconds(6));
    CHECK(listing.current(start + seconds(7)).size() == 2); // The leaving one is not kept.
    listing.update(record("a"));
    CHECK(listing.current(start + seconds(20)).size() == 2);
}

TEST_CASE("an entry that does not return after an outage is gone")
{
    endpoint_list_cache listing;
    const monotonic_time start{};
    listing.replace({record("a"), record("b")}, start);
    listing.on_store_disconnected(start);
    listing.on_store_reconnected(start + seconds(6));
    listing.remove(endpoint_id("a"), start + seconds(7));
    REQUIRE(listing.next_expiry().has_value());
    CHECK(*listing.next_expiry() == start + seconds(6) + endpoint_list_cache::reregistration_time);
    CHECK(listing.current(*listing.next_expiry()).size() == 1);
}

} // namespace siskinwharf::dispatch
