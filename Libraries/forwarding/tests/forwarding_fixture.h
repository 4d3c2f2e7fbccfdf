#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "scripted_endpoint.h"
#include "siskinwharf/forwarding/request_runner.h"

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

/// Codec with its own header names, so that the tests do not depend on a platform.
class test_codec final : public call_codec {
public:
    [[nodiscard]] call decode(http::request message) const override
    {
        call result;
        result.id = request_id(std::string(message.find_header("Id").value_or("")));
        result.host = std::string(message.find_header("Host").value_or(""));
        if (const auto key = message.find_header("Key"))
            result.key = std::string(*key);
        result.deadline = milliseconds(3'000);
        if (const auto after = message.find_header("After"))
            result.resume_after = std::string(*after);
        if (const auto attempt = message.find_header("Resumes"))
            result.resumed_attempt = request_id(std::string(*attempt));
        result.work.answer_tokens = 100;
        if (const auto parts = message.find_header("Parts")) {
            // Each part is one character.
            for (const char part : *parts)
                result.work.parts.push_back({static_cast<std::uint64_t>(part), 1});
        }
        result.message = std::move(message);
        return result;
    }

    [[nodiscard]] http::request encode(const call& from, const endpoint_request_options& order) const override
    {
        http::request result{from.message.method, from.message.path, "", {{"Id", from.id.value()}}, ""};
        if (order.resume_after)
            result.headers.push_back({"After", *order.resume_after});
        if (order.account)
            result.headers.push_back({"Account", order.account->value()});
        return result;
    }

    [[nodiscard]] http::request encode_for_peer(const call& from,
                                                std::optional<milliseconds> /*time_left*/) const override
    {
        return from.message;
    }

    [[nodiscard]] response_metadata inspect(int status,
                                            const std::vector<http::header_field>& headers) const override
    {
        response_metadata facts;
        facts.is_not_run = status == 421;
        for (const auto& [name, value] : headers) {
            facts.is_not_run = facts.is_not_run || name == "Not-Run";
            facts.is_signed = facts.is_signed || name == "Signed";
            if (name == "Id")
                facts.id = facts.id && facts.id->value() != value ? request_id() : request_id(value);
            if (name == "Limit")
                facts.stated.requests_per_second = std::stod(value);
            if (name == "Leaving")
                facts.stated.is_leaving = true;
            if (name == "Pause-Ms" && status == 503)
                facts.stated.pause = milliseconds(std::stoll(value));
            if (name == "Malformed")
                ++facts.malformed_statements;
        }
        return facts;
    }

    [[nodiscard]] std::vector<http::header_field>
    forwarded(const std::vector<http::header_field>& /*headers*/) const override
    {
        return {{"From", "endpoint"}};
    }
};

inline std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& text)
{
    constexpr const char* digits = "0123456789abcdef";
    return std::string{digits[text.size() / 16], digits[text.size() % 16]} + "\r\n" + text + "\r\n";
}

inline const std::string stream_head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

inline deployment::snapshot_content make_content()
{
    deployment::snapshot_content content;
    content.version = 1;
    const auto add = [&](const std::string& prefix, deployment::request_kind kind, bool is_resumable) {
        deployment::route route;
        route.name = prefix;
        route.host = "a";
        route.path_prefix = prefix;
        route.kind = kind;
        route.timeout = milliseconds(2'000);
        route.latency_target = milliseconds(1'000);
        route.maximum_attempts = 2;
        route.is_resumable = is_resumable;
        route.shares = {{service_id("s"), 1}};
        content.routes.push_back(route);
    };
    add("/read/", deployment::request_kind::idempotent, false);
    add("/order/", deployment::request_kind::non_idempotent, false);
    add("/stream/", deployment::request_kind::stream, false);
    add("/resumable/", deployment::request_kind::stream, true);
    deployment::service service;
    service.id = service_id("s");
    content.services = {service};
    deployment::account account;
    account.id = account_id("bakery");
    account.keys = {"k"};
    content.accounts = {account};
    return content;
}

inline process_settings make_settings()
{
    process_settings settings;
    settings.bounds.retry_slack = 100;
    return settings;
}

/// What the store says of software versions when a stream is taken up.
class fake_origin_source final : public stream_origin_source {
public:
    explicit fake_origin_source(traffic_state& state) : m_state(state) {}

    asio::awaitable<bool> read_versions() override
    {
        ++reads;
        if (is_store_silent) {
            asio::steady_timer timer(co_await asio::this_coro::executor, seconds(2));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (!recorded)
            co_return false;
        m_state.software().set_recorded(*recorded);
        m_state.software().restore(*recorded, std::chrono::steady_clock::now());
        co_return true;
    }

    void ask_peers(std::uint64_t stream) override
    {
        ++questions;
        if (questions > lost_questions)
            m_state.streams().merge(peer.find(std::vector{stream}), std::chrono::steady_clock::now());
    }

    /// Missing if the store does not answer, or not all versions are known.
    std::optional<dispatch::software_history::versions> recorded;
    bool is_store_silent = false; ///< A call takes until its timeout.
    std::size_t reads = 0;
    dispatch::stream_origins peer;  ///< What a peer knows.
    std::size_t questions = 0;      ///< That peers were asked.
    std::size_t lost_questions = 0; ///< The first ones, which no peer receives.

private:
    traffic_state& m_state;
};

/// A forwarding process in front of up to two endpoints.
struct forwarding_fixture {
    explicit forwarding_fixture(const std::vector<std::deque<std::string>>& scripts,
                                const process_settings& settings = make_settings())
        : state(settings, 1, usage::wall_time{}, std::chrono::steady_clock::now())
    {
        const auto now = std::chrono::steady_clock::now();
        state.set_configuration(make_content(), now);
        std::vector<dispatch::endpoint_record> records;
        for (const auto& script : scripts) {
            endpoints.push_back(std::make_unique<scripted_endpoint>(context, script));
            records.push_back(make_record(endpoints.back()->port(), records.size()));
        }
        set_endpoints(records);
        server.use_budget(state.memory());
        server.start();
    }

    /// Makes endpoints of the test the only ones.
    void set_ports(const std::vector<unsigned short>& ports)
    {
        std::vector<dispatch::endpoint_record> records;
        records.reserve(ports.size());
        for (const auto port : ports)
            records.push_back(make_record(port, records.size()));
        set_endpoints(records);
    }

    /// Sets the list of endpoints, whose software versions the store lists.
    void set_endpoints(const std::vector<dispatch::endpoint_record>& records)
    {
        state.set_endpoints(records, std::chrono::steady_clock::now());
        dispatch::software_history::versions recorded;
        for (const auto& record : records)
            recorded[record.service].insert(record.software);
        state.software().set_recorded(recorded);
    }

    /// The first endpoint is in the local failure domain, so it is tried first.
    static dispatch::endpoint_record make_record(unsigned short port, std::size_t index)
    {
        dispatch::endpoint_record record;
        record.id = endpoint_id("e" + std::to_string(index + 1));
        record.service = service_id("s");
        record.ip = "127.0.0.1";
        record.port = port;
        record.domain = failure_domain_id(index == 0 ? "" : "other");
        record.slots = 8;
        return record;
    }

    /// Sends one request and returns all received bytes up to the end of the connection.
    std::string ask(const std::string& path, const std::string& key = "k", const std::string& parts = "",
                    const std::string& id = "7", const std::string& method = "GET")
    {
        std::string received;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
                asio::ip::tcp::socket socket(context);
                const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.port());
                co_await socket.async_connect(target, use_tuple);
                const std::string request = method + " " + path + " HTTP/1.1\r\nHost: a\r\nId: " + id +
                                            "\r\nKey: " + key + "\r\nParts: " + parts +
                                            "\r\nConnection: close\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(request), use_tuple);
                auto buffer = asio::dynamic_buffer(received);
                co_await asio::async_read(socket, buffer, use_tuple);
                context.stop();
            },
            asio::detached);
        context.restart();
        context.run_for(seconds(20));
        return received;
    }

    /// Lets background work such as crash checks proceed.
    void run_for(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    [[nodiscard]] std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& endpoint : endpoints)
            count += endpoint->requests().size();
        return count;
    }

    asio::io_context context{1};
    http::client client{context.get_executor()};
    telemetry::metrics_registry metrics;
    test_codec codec;
    traffic_state state;
    fake_origin_source origins{state};
    request_runner runner{context.get_executor(), state, codec, client, metrics, origins};
    http::server server{context,
                        {"127.0.0.1", 0},
                        http::server_limits{},
                        [this](http::request message, http::response_writer& writer) {
                            return runner.handle(std::move(message), writer);
                        }};
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
};

} // namespace siskinwharf::forwarding
