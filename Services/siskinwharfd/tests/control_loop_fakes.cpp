#include "control_loop_fakes.h"

namespace siskinwharf::entry {

namespace {

constexpr seconds pause{60};

std::string sheet_text(const std::string& fencing)
{
    return "kind,name,regions,target,version,adapters,fencing,minimum_replicas,non_idempotent_prefixes,"
           "key_digests,share,egress_cents_per_gigabyte,spend_percent,first_token_ms,between_tokens_ms,"
           "cents_per_hour\n"
           "region,r1,,,,,,,,,,0,,,,\n"
           "domain,d1,r1,,,,,,,,,,100,,,\n"
           "model,m,,,v2,," +
           fencing + ",1,,,,,,,,\n" + "account,a,,,,,,,," + std::string(64, 'a') + ",1,,,,,\n" +
           "grant,a,r1,m,,,,,,,,,,,,\n"
           "spend,,,,,,,,,,,,,,,100000\n";
}

settings::settings test_settings()
{
    settings::settings result;
    result.instance = instance_id("e-1");
    result.failure_domain = failure_domain_id("d1");
    result.region = region_id("r1");
    return result;
}

} // namespace

control::endpoint_configuration configuration(const std::string& version)
{
    return {model_id("m"), version, {}, "both"};
}

cloud::instance_record engine_record(const std::string& id)
{
    cloud::instance_record record;
    record.id = instance_id(id);
    record.domain = failure_domain_id("d1");
    record.serves = cloud::serves_model{model_id("m"), "v1"};
    record.capacity = 8;
    record.port = id == "m-1" ? 1 : 2;
    return record;
}

loop_fixture::loop_fixture(const std::string& fencing)
    : configurations{{1, configuration("v1")}, {2, configuration("v1")}},
      m_core(test_settings(), {}, monotonic_time{})
{
    REQUIRE(m_core.sheets.offer(1, sheet_text(fencing)) == sheet::offer_outcome::in_force);
    auto endpoint = std::make_unique<mock_endpoint>();
    auto cloud = std::make_unique<mock_cloud>();
    m_expectations.push_back(
        NAMED_ALLOW_CALL(*endpoint, send(trompeloeil::_, trompeloeil::_)).LR_RETURN(answer(take(_1, _2))));
    m_expectations.push_back(
        NAMED_ALLOW_CALL(*endpoint, read_back(trompeloeil::_)).LR_RETURN(answer(configurations[_1.port])));
    m_expectations.push_back(NAMED_ALLOW_CALL(*cloud, offers()).LR_RETURN(answer(offers)));
    m_expectations.push_back(NAMED_ALLOW_CALL(*cloud, instances()).LR_RETURN(answer(instances)));
    m_expectations.push_back(NAMED_ALLOW_CALL(*cloud, start(trompeloeil::_))
                                 .LR_SIDE_EFFECT(started.push_back(_1))
                                 .LR_RETURN(answer(start_answer)));
    m_expectations.push_back(NAMED_ALLOW_CALL(*cloud, stop(trompeloeil::_))
                                 .LR_SIDE_EFFECT(stopped.push_back(_1))
                                 .LR_RETURN(answer(cloud::stop_result(cloud::cloud_stopped{}))));
    m_expectations.push_back(NAMED_ALLOW_CALL(*cloud, notices(trompeloeil::_))
                                 .LR_SIDE_EFFECT(notices_after.push_back(_1))
                                 .LR_RETURN(answer(notices)));
    control_ports ports{std::move(endpoint), std::move(cloud), [this] {
                            return read_clock();
                        }};
    loop = std::make_unique<control_loop>(
        m_context, m_core, table, std::move(ports),
        [this](const std::map<endpoint_id, monotonic_time>& gone_at) { leaving = gone_at; },
        [this](const peer::rollout_state& state) { rollout_states.push_back(state); });
    loop->update({engine_record()});
}

monotonic_time loop_fixture::read_clock()
{
    if (++clock_reads == pause_at) {
        time += pause;
        was_paused = true;
        take_over();
    }
    return time;
}

control::order_result loop_fixture::take(const http::address& target, const control::send_order& order)
{
    sent.push_back(order);
    sent_after_pause.push_back(was_paused);
    // A pause may also come between this order and the next one of the same step.
    read_clock();
    if (!std::holds_alternative<control::order_refused_stale>(order_answer) &&
        !std::holds_alternative<control::order_refused>(order_answer))
        configurations[target.port] = order.wanted;
    return order_answer;
}

void loop_fixture::step()
{
    std::exception_ptr failure;
    boost::asio::co_spawn(m_context, loop->step(), [&](const std::exception_ptr& error) { failure = error; });
    m_context.restart();
    m_context.run();
    if (failure)
        std::rethrow_exception(failure);
}

void loop_fixture::release(milliseconds limit)
{
    std::exception_ptr failure;
    boost::asio::co_spawn(m_context, loop->release(limit),
                          [&](const std::exception_ptr& error) { failure = error; });
    m_context.restart();
    // Virtual time stands still while tasks run; each turn of the loop is 100 ms of it.
    while (m_context.run_one() != 0)
        time += milliseconds(100);
    if (failure)
        std::rethrow_exception(failure);
}

void loop_fixture::run_for(nanoseconds duration)
{
    for (const auto end = time + duration; time < end; time += milliseconds(100))
        step();
}

} // namespace siskinwharf::entry
