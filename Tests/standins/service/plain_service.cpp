#include "plain_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "json.h"
#include "notifier.h"

namespace siskinwharf::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t items_in_stock = 1000;

json::object describe_counts(const std::map<std::string, std::uint64_t>& counts)
{
    json::object described;
    for (const auto& [name, count] : counts)
        described[name] = count;
    return described;
}

http_response applied_response()
{
    return json_response(200, json::object{{"applied", true}});
}

http_response stock_response(const std::string& endpoint_id)
{
    return json_response(200, json::object{{"in_stock", items_in_stock}, {"endpoint_id", endpoint_id}});
}

} // namespace

plain_service::plain_service(asio::io_context& context, service_options options, process_actions actions,
                             execution_observer observer)
    : m_context(context),
      m_options(std::move(options)),
      m_actions(std::move(actions)),
      m_observer(std::move(observer)),
      m_server(context, [this](http_exchange& exchange) { return handle(exchange); })
{
}

bool plain_service::take(std::int64_t& count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

asio::awaitable<void> plain_service::handle(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    http_response response = error_response(404, "not_found");
    if (request.matches("POST", "/faults")) {
        co_await apply_faults(exchange);
        co_return;
    }
    if (request.matches("GET", "/executions")) {
        response = describe_executions();
    } else if (request.matches("GET", "/load") || request.matches("GET", "/stats")) {
        response = describe_state();
    } else if (m_leaving) {
        response = error_response(409, "leaving");
    } else if (request.matches("POST", "/orders") || request.matches("POST", "/swaps")) {
        co_await call(exchange);
        co_return;
    } else if (request.matches("GET", "/stock")) {
        co_await read_stock(exchange);
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> plain_service::call(http_exchange& exchange)
{
    if (take(m_close_before_executing)) {
        exchange.drop();
        co_return;
    }
    ++m_in_flight;
    co_await sleep_for(milliseconds(m_options.work_ms) + m_delay);
    --m_in_flight;
    // A call that was read is executed even if its caller has gone in the meantime.
    http_response response = execute(exchange.request());
    if (!m_crash_on.empty() && exchange.request().body.find(m_crash_on) != std::string::npos)
        m_actions.crash();
    if (take(m_close_after_executing)) {
        exchange.drop();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> plain_service::read_stock(http_exchange& exchange)
{
    ++m_in_flight;
    co_await sleep_for(milliseconds(m_options.work_ms) + m_delay);
    --m_in_flight;
    ++m_reads;
    co_await exchange.respond(stock_response(m_options.endpoint_id));
}

http_response plain_service::execute(const http_request& request)
{
    const std::string key = request.header("idempotency-key");
    ++m_executions;
    ++m_executions_by_body[request.body];
    if (!key.empty())
        ++m_executions_by_key[key];
    m_observer(key, request.path);
    return json_response(200, json::object{{"executed", m_executions},
                                           {"path", request.path},
                                           {"idempotency_key", key},
                                           {"endpoint_id", m_options.endpoint_id}});
}

asio::awaitable<void> plain_service::apply_faults(http_exchange& exchange)
{
    const json::object body = parse_object(exchange.request().body);
    m_delay = milliseconds(integer_member(body, "delay_ms", m_delay.count()));
    m_close_after_executing = integer_member(body, "close_after_executing", m_close_after_executing);
    m_close_before_executing = integer_member(body, "close_before_executing", m_close_before_executing);
    m_crash_on = string_member(body, "crash_on", m_crash_on);
    if (body.contains("leave_in_ms")) {
        m_leaving = true;
        const milliseconds delay(integer_member(body, "leave_in_ms"));
        asio::co_spawn(m_context, leave_after(delay), asio::detached);
    }
    if (boolean_member(body, "drop_connections"))
        m_server.drop_connections(&exchange);
    if (boolean_member(body, "crash"))
        m_actions.crash();
    co_await exchange.respond(applied_response());
}

asio::awaitable<void> plain_service::leave_after(milliseconds delay)
{
    co_await sleep_for(delay);
    m_actions.exit();
}

http_response plain_service::describe_executions() const
{
    return json_response(200, json::object{{"total", m_executions},
                                           {"by_key", describe_counts(m_executions_by_key)},
                                           {"by_body", describe_counts(m_executions_by_body)}});
}

http_response plain_service::describe_state() const
{
    return json_response(200, json::object{{"endpoint_id", m_options.endpoint_id},
                                           {"service", m_options.service},
                                           {"failure_domain", m_options.failure_domain},
                                           {"in_flight", m_in_flight},
                                           {"reads", m_reads},
                                           {"executions", m_executions},
                                           {"leaving", m_leaving}});
}

} // namespace siskinwharf::standins
