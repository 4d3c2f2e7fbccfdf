#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "entry_core.h"
#include "live_request.h"
#include "model_runner.h"

namespace siskinwharf::entry {

inline settings::settings settings_of_test()
{
    settings::settings result;
    result.instance = instance_id("i");
    result.failure_domain = failure_domain_id("d");
    result.region = region_id("r");
    return result;
}

/// Runs requests against the endpoints that a test adds.
struct runner_fixture {
    void add_endpoint(const std::string& name, unsigned short port, std::uint32_t capacity,
                      std::uint64_t incarnation = 0, const std::string& version = "1")
    {
        routing::endpoint_info info;
        info.id = endpoint_id(name);
        info.address = "127.0.0.1";
        info.port = port;
        info.domain = core.settings.failure_domain;
        info.region = core.settings.region;
        info.serves = routing::model_target{model_id("chat"), version};
        info.capacity = capacity;
        info.incarnation = incarnation;
        core.table.publish({{info}, {}, std::nullopt});
    }

    /// Runs one request to its end.
    std::shared_ptr<live_request> run(milliseconds to_deadline, std::vector<std::string> versions = {})
    {
        request_spec spec;
        spec.id = request_id("q");
        spec.account = account_id("x");
        spec.model = model_id("chat");
        spec.version = "1";
        spec.versions = std::move(versions);
        spec.prompt = "one two three";
        spec.max_tokens = 2;
        spec.latencies = core.metrics.registry().histograms(spec.account, spec.model.value());
        spec.received = now();
        spec.deadline = now() + to_deadline;
        auto request = std::make_shared<live_request>(context.get_executor(), std::move(spec));
        model_runner runner(core, client, request);
        bool ended = false;
        boost::asio::co_spawn(context, runner.run(), [&](const std::exception_ptr&) { ended = true; });
        while (!ended)
            context.run_one();
        return request;
    }

    entry_core core{settings_of_test(), routing::routing_options{}, now()};
    boost::asio::io_context context;
    http::client client{context.get_executor()};
};

} // namespace siskinwharf::entry
