#pragma once

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "control_loop.h"
#include "siskinwharf/control/lease_record.h"

namespace siskinwharf::entry {

/// An answer that arrives at once.
template<typename Value>
boost::asio::awaitable<Value> answer(Value value)
{
    co_return value;
}

/// A table with the faults of the table service.
class fake_table final : public cloud::table_store {
public:
    enum class fault { none, down, answer_lost, request_lost };

    boost::asio::awaitable<cloud::commit_result> commit(cloud::table_transaction transaction) override
    {
        ++commits;
        const auto current = std::exchange(next, next == fault::down ? fault::down : fault::none);
        if (current == fault::down)
            co_return cloud::table_unavailable{};
        if (current == fault::request_lost)
            co_return cloud::table_uncertain{};
        const auto& write = transaction.writes.front();
        const auto* version = std::get_if<cloud::require_version>(&write.condition);
        const bool holds = version == nullptr ? !row : row && row->version == version->version;
        if (holds)
            put(*write.value);
        if (current == fault::answer_lost)
            co_return cloud::table_uncertain{};
        if (holds)
            co_return cloud::table_committed{};
        cloud::table_conflict conflict;
        conflict.rows.push_back({0, row});
        co_return conflict;
    }
    boost::asio::awaitable<cloud::read_result> read(std::string key) override
    {
        CHECK(key == "lease/d1");
        if (next == fault::down)
            co_return cloud::table_unavailable{};
        co_return row;
    }
    void put(const std::string& value) { row = {"lease/d1", value, row ? row->version + 1 : 1}; }

    std::size_t commits = 0;
    std::optional<cloud::table_row> row;
    fault next = fault::none;
};

class mock_endpoint final : public order_endpoint {
public:
    MAKE_MOCK2(send, boost::asio::awaitable<control::order_result>(http::address, control::send_order),
               override);
    MAKE_MOCK1(read_back,
               boost::asio::awaitable<std::optional<control::endpoint_configuration>>(http::address),
               override);
};

class mock_cloud final : public cloud::cloud_api {
public:
    MAKE_MOCK0(offers, boost::asio::awaitable<cloud::offers_result>(), override);
    MAKE_MOCK0(instances, boost::asio::awaitable<cloud::instances_result>(), override);
    MAKE_MOCK1(start, boost::asio::awaitable<cloud::start_result>(cloud::start_request), override);
    MAKE_MOCK1(stop, boost::asio::awaitable<cloud::stop_result>(instance_id), override);
    MAKE_MOCK1(notices, boost::asio::awaitable<cloud::notices_result>(std::uint64_t), override);
};

/// A control loop of failure domain `d1` in virtual time, with the engine `m-1` whose configuration is `has`
/// and, if a test lists it, `m-2`.
class loop_fixture {
public:
    explicit loop_fixture(const std::string& fencing = "checked");

    void step();
    /// Waits for the release of the lease for at most this virtual time.
    void release(milliseconds limit);
    /// Steps every 100 ms of virtual time.
    void run_for(nanoseconds duration);
    /// Another process takes the lease over.
    void take_over() { table.put(control::encode({"other", 9, 1})); }

    monotonic_time time{seconds(1'000)};
    /// At this read of the clock, counted from 1, the process is paused for longer than any lease.
    std::size_t pause_at = 0;
    std::size_t clock_reads = 0;
    bool was_paused = false;

    fake_table table;
    /// By the port of the engine.
    std::map<std::uint16_t, std::optional<control::endpoint_configuration>> configurations;
    std::optional<control::endpoint_configuration>& has = configurations[1];
    std::vector<control::send_order> sent;
    std::vector<bool> sent_after_pause;
    /// What the engine answers; it takes an order unless it refuses it.
    control::order_result order_answer = control::order_accepted{};
    cloud::notices_result notices = cloud::notice_page{};
    std::vector<std::uint64_t> notices_after;
    cloud::offers_result offers = std::vector<cloud::cloud_offer>{};
    cloud::instances_result instances = std::vector<cloud::cloud_instance>{};
    cloud::start_result start_answer = cloud::cloud_unavailable{};
    std::vector<cloud::start_request> started;
    std::vector<instance_id> stopped;
    std::map<endpoint_id, monotonic_time> leaving;
    std::vector<peer::rollout_state> rollout_states;

private:
    monotonic_time read_clock();
    control::order_result take(const http::address& target, const control::send_order& order);

    boost::asio::io_context m_context;
    entry_core m_core;
    std::vector<std::unique_ptr<trompeloeil::expectation>> m_expectations;

public:
    std::unique_ptr<control_loop> loop;
};

[[nodiscard]] control::endpoint_configuration configuration(const std::string& version);
[[nodiscard]] cloud::instance_record engine_record(const std::string& id = "m-1");

} // namespace siskinwharf::entry
