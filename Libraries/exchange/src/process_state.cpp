#include "siskinwharf/exchange/process_state.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "wire_conversion.h"

namespace siskinwharf::exchange {

namespace {

std::vector<wire::endpoint_load> to_wire(const std::vector<dispatch::endpoint_load>& loads)
{
    std::vector<wire::endpoint_load> result;
    for (const auto& load : loads) {
        auto& entry = result.emplace_back();
        entry.endpoint = load.endpoint.value();
        entry.running = static_cast<std::int32_t>(load.running);
        entry.waiting_tokens = to_signed(load.waiting_tokens);
        entry.expected_ms = static_cast<std::int32_t>(std::lround(load.speed.expected_ms));
        entry.measured_ms = static_cast<std::int32_t>(std::lround(load.speed.measured_ms));
    }
    return result;
}

std::vector<dispatch::endpoint_load> from_wire(const std::vector<wire::endpoint_load>& loads)
{
    std::vector<dispatch::endpoint_load> result;
    result.reserve(loads.size());
    for (const auto& load : loads)
        result.push_back({endpoint_id(load.endpoint),
                          to_count(load.running),
                          to_amount(load.waiting_tokens),
                          {static_cast<double>(to_count(load.expected_ms)),
                           static_cast<double>(to_count(load.measured_ms))}});
    return result;
}

std::vector<wire::account_use> to_wire(const std::vector<account_use>& accounts)
{
    std::vector<wire::account_use> result;
    result.reserve(accounts.size());
    for (const auto& use : accounts) {
        auto& entry = result.emplace_back();
        entry.account = use.account.value();
        entry.in_window = to_signed(use.in_window);
        entry.per_second = to_signed(use.per_second);
        entry.asked_per_second = to_signed(use.asked_per_second);
        entry.age_ms = use.age.count();
    }
    return result;
}

std::vector<account_use> from_wire(const std::vector<wire::account_use>& accounts)
{
    std::vector<account_use> result;
    result.reserve(accounts.size());
    for (const auto& use : accounts)
        result.push_back({account_id(use.account), to_amount(use.in_window), to_amount(use.per_second),
                          to_amount(use.asked_per_second), to_age(use.age_ms)});
    return result;
}

std::vector<wire::service_demand> to_wire(const std::vector<service_demand>& services)
{
    std::vector<wire::service_demand> result;
    result.reserve(services.size());
    for (const auto& service : services) {
        auto& entry = result.emplace_back();
        entry.name = service.service.value();
        entry.tokens_per_second = to_signed(service.tokens_per_second);
        entry.running = static_cast<std::int32_t>(service.running);
    }
    return result;
}

std::vector<service_demand> from_wire(const std::vector<wire::service_demand>& services)
{
    std::vector<service_demand> result;
    result.reserve(services.size());
    for (const auto& service : services)
        result.push_back(
            {service_id(service.name), to_amount(service.tokens_per_second), to_count(service.running)});
    return result;
}

wire::process_state to_wire(const process_state& value)
{
    wire::process_state result;
    result.process = value.process.value();
    result.start = to_signed(value.start);
    result.sequence = to_signed(value.sequence);
    result.wall_ms = value.wall.time_since_epoch().count();
    result.uptime_ms = value.uptime.count();
    result.configuration_version = to_signed(value.configuration.version);
    result.configuration_era = to_signed(value.configuration.era);
    result.list_era = to_signed(value.list.era);
    result.list_version = to_signed(value.list.version);
    result.era_age_ms = value.era_age.count();
    result.port = value.port;
    result.is_leaving = value.is_leaving;
    result.lease_number = to_signed(value.lease_number);
    result.failure_domain = value.domain.value();
    result.loads = to_wire(value.loads);
    result.accounts = to_wire(value.accounts);
    result.services = to_wire(value.services);
    return result;
}

process_state from_wire(const wire::process_state& value)
{
    process_state result;
    result.process = instance_id(value.process);
    result.start = to_unsigned(value.start);
    result.sequence = to_unsigned(value.sequence);
    result.wall = usage::wall_time(milliseconds(value.wall_ms));
    result.uptime = milliseconds(value.uptime_ms);
    result.configuration = {to_unsigned(value.configuration_version), to_unsigned(value.configuration_era)};
    result.list = {to_unsigned(value.list_era), to_unsigned(value.list_version)};
    result.era_age = to_age(value.era_age_ms);
    result.port = static_cast<std::uint16_t>(value.port);
    result.is_leaving = value.is_leaving;
    result.lease_number = to_unsigned(value.lease_number);
    result.domain = failure_domain_id(value.failure_domain);
    result.loads = from_wire(value.loads);
    result.accounts = from_wire(value.accounts);
    result.services = from_wire(value.services);
    return result;
}

wire::usage_update to_wire(const usage_update& value)
{
    wire::usage_update result;
    result.process = value.process.value();
    result.start = to_signed(value.start);
    result.failure_domain = value.domain.value();
    for (const auto& usage : value.usage) {
        auto& entry = result.usage.emplace_back();
        entry.window = usage.window;
        for (const auto& [account, count] : usage.counts)
            entry.counts[account.value()] = to_signed(count);
    }
    return result;
}

usage_update from_wire(const wire::usage_update& value)
{
    usage_update result{
        instance_id(value.process), to_unsigned(value.start), {}, failure_domain_id(value.failure_domain)};
    for (const auto& entry : value.usage) {
        usage::usage_entry usage{result.process, result.start, entry.window, {}};
        for (const auto& [account, count] : entry.counts)
            usage.counts[account_id(account)] = to_amount(count);
        result.usage.push_back(std::move(usage));
    }
    return result;
}

near_update from_wire(const wire::near_update& value)
{
    near_update result;
    result.process = instance_id(value.process);
    result.start = to_unsigned(value.start);
    result.loads = from_wire(value.loads);
    result.configuration = {to_unsigned(value.configuration_version), to_unsigned(value.configuration_era)};
    result.list = {to_unsigned(value.list_era), to_unsigned(value.list_version)};
    result.is_reading = value.is_reading;
    result.store_answer_age = milliseconds(value.store_answer_age_ms);
    return result;
}

std::int32_t to_permille(double share)
{
    return static_cast<std::int32_t>(std::lround(share * permille));
}

double from_permille(std::int32_t value)
{
    return std::clamp(static_cast<double>(value) / permille, 0.0, 1.0);
}

/// Sets the fields that both kinds of report have in common.
template<typename Report, typename Wire>
void convert_common(const Report& value, Wire& result)
{
    result.process = value.process.value();
    result.start = to_signed(value.start);
    result.sequence = to_signed(value.sequence);
    result.processes = static_cast<std::int32_t>(value.processes);
    result.coverage_permille = to_permille(value.coverage);
    result.accounts = to_wire(value.accounts);
    result.lease_number = to_signed(value.lease.number);
    result.lease_age_ms = value.lease.age.count();
}

template<typename Wire, typename Report>
void restore_common(const Wire& value, Report& result)
{
    result.process = instance_id(value.process);
    result.start = to_unsigned(value.start);
    result.sequence = to_unsigned(value.sequence);
    result.processes = to_count(value.processes);
    result.coverage = from_permille(value.coverage_permille);
    result.accounts = from_wire(value.accounts);
    result.lease = {to_unsigned(value.lease_number), to_age(value.lease_age_ms)};
}

domain_report from_wire(const wire::domain_report& value)
{
    domain_report result;
    restore_common(value, result);
    result.domain = failure_domain_id(value.failure_domain);
    result.services = from_wire(value.services);
    result.counts_age = to_age(value.counts_age_ms);
    result.configuration = {to_unsigned(value.configuration_version), to_unsigned(value.configuration_era)};
    result.list = {to_unsigned(value.list_era), to_unsigned(value.list_version)};
    result.port = static_cast<std::uint16_t>(value.port);
    return result;
}

deployment_report from_wire(const wire::deployment_report& value)
{
    deployment_report result;
    restore_common(value, result);
    return result;
}

use_update from_wire(const wire::use_update& value)
{
    return {instance_id(value.process), to_unsigned(value.start), to_unsigned(value.sequence),
            failure_domain_id(value.failure_domain), from_wire(value.accounts)};
}

} // namespace

std::string encode(const process_state& state)
{
    return write(to_wire(state));
}

std::string encode(const near_update& update)
{
    wire::near_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    result.loads = to_wire(update.loads);
    result.configuration_version = to_signed(update.configuration.version);
    result.configuration_era = to_signed(update.configuration.era);
    result.list_era = to_signed(update.list.era);
    result.list_version = to_signed(update.list.version);
    result.is_reading = update.is_reading;
    result.store_answer_age_ms = update.store_answer_age.count();
    return write(result);
}

std::string encode(const usage_update& update)
{
    return write(to_wire(update));
}

std::string encode(const domain_report& report)
{
    wire::domain_report result;
    convert_common(report, result);
    result.failure_domain = report.domain.value();
    result.services = to_wire(report.services);
    result.counts_age_ms = report.counts_age.count();
    result.configuration_version = to_signed(report.configuration.version);
    result.configuration_era = to_signed(report.configuration.era);
    result.list_era = to_signed(report.list.era);
    result.list_version = to_signed(report.list.version);
    result.port = report.port;
    return write(result);
}

std::string encode(const deployment_report& report)
{
    wire::deployment_report result;
    convert_common(report, result);
    return write(result);
}

std::string encode(const use_update& update)
{
    wire::use_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    result.sequence = to_signed(update.sequence);
    result.failure_domain = update.domain.value();
    result.accounts = to_wire(update.accounts);
    return write(result);
}

std::vector<dispatch::endpoint_load> select_loads(std::vector<dispatch::endpoint_load> loads)
{
    if (loads.size() <= maximum_loads_per_message)
        return loads;
    const auto weight = [](const dispatch::endpoint_load& load) {
        return std::pair(load.waiting_tokens, load.running);
    };
    std::ranges::sort(loads, std::greater(), weight);
    loads.resize(maximum_loads_per_message);
    return loads;
}

std::vector<usage_update> usage_updates(const instance_id& process, std::uint64_t start,
                                        const std::vector<usage::usage_entry>& entries,
                                        const failure_domain_id& domain)
{
    // Maximum size of a count, the length of its account id and the integers around them.
    constexpr std::size_t entry_overhead = 16;
    std::vector<usage_update> result;
    std::size_t left = 0;
    for (const auto& entry : entries) {
        std::size_t size = entry_overhead;
        for (const auto& [account, count] : entry.counts)
            size += account.value().size() + entry_overhead;
        if (result.empty() || size > left) {
            result.push_back({process, start, {}, domain});
            left = packet_size;
        }
        left -= std::min(left, size);
        result.back().usage.push_back(entry);
    }
    return result;
}

message decode(std::string_view datagram)
{
    if (datagram.empty())
        throw exchange_error("empty datagram");
    if (const auto state = read<wire::process_state>(datagram))
        return from_wire(*state);
    if (const auto update = read<wire::near_update>(datagram))
        return from_wire(*update);
    if (const auto update = read<wire::usage_update>(datagram))
        return from_wire(*update);
    if (const auto report = read<wire::domain_report>(datagram))
        return from_wire(*report);
    if (const auto report = read<wire::deployment_report>(datagram))
        return from_wire(*report);
    if (const auto update = read<wire::use_update>(datagram))
        return from_wire(*update);
    if (const auto update = read<wire::part_crash_update>(datagram))
        return from_wire(*update);
    if (const auto update = read<wire::endpoint_limit_update>(datagram))
        return from_wire(*update);
    if (const auto update = read<wire::quarantine_update>(datagram))
        return from_wire(*update);
    if (const auto update = read<wire::stream_update>(datagram))
        return from_wire(*update);
    if (const auto query = read<wire::stream_query>(datagram))
        return from_wire(*query);
    throw exchange_error("not a message of a forwarding process");
}

} // namespace siskinwharf::exchange
