#include "capacity_executor.h"

#include <algorithm>
#include <set>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t seconds_per_hour = 3600;
constexpr std::uint64_t microcents_per_cent = 1'000'000;
constexpr std::uint64_t percent = 100;

control::instance_kind to_control(cloud::purchase_kind kind)
{
    return kind == cloud::purchase_kind::reclaimable ? control::instance_kind::reclaimable
                                                     : control::instance_kind::on_demand;
}

cloud::purchase_kind to_platform(control::instance_kind kind)
{
    return kind == control::instance_kind::reclaimable ? cloud::purchase_kind::reclaimable
                                                       : cloud::purchase_kind::on_demand;
}

control::offer_key key_of(const cloud::instance_record& record)
{
    return {record.domain, record.machine_class,
            record.reclaimable ? control::instance_kind::reclaimable : control::instance_kind::on_demand};
}

control::offer_key key_of(const cloud::cloud_instance& instance)
{
    return {instance.domain, instance.machine_class, to_control(instance.kind)};
}

bool is_model_endpoint(const cloud::instance_record& record)
{
    return std::holds_alternative<cloud::serves_model>(record.serves) && !record.leaving;
}

/// Whether the instance exists or will, and nobody has announced its end.
bool counts(const cloud::cloud_instance& instance)
{
    return instance.state == cloud::cloud_instance_state::starting ||
           instance.state == cloud::cloud_instance_state::running;
}

control::capacity_offer* find_offer(control::capacity_snapshot& snapshot, const control::offer_key& key)
{
    const auto found = std::ranges::find(snapshot.offers, key, &control::capacity_offer::key);
    return found == snapshot.offers.end() ? nullptr : &*found;
}

/// Instances that run but are not in the instance list serve nothing yet.
std::vector<cloud::cloud_instance> unlisted(const std::vector<cloud::cloud_instance>& instances,
                                            const std::vector<cloud::instance_record>& records)
{
    std::set<instance_id> listed;
    for (const auto& record : records)
        listed.insert(record.id);
    std::vector<cloud::cloud_instance> result;
    std::ranges::copy_if(instances, std::back_inserter(result), [&](const auto& instance) {
        return counts(instance) && !listed.contains(instance.id);
    });
    return result;
}

std::vector<control::domain_budget> budgets_of(const sheet::sheet& sheet)
{
    std::vector<control::domain_budget> result;
    for (const auto& domain : sheet.domains)
        result.push_back({domain.domain,
                          sheet.spend_cents_per_hour * microcents_per_cent * domain.spend_percent / percent});
    return result;
}

/// Failure domains in regions where the model is granted to an account.
std::uint64_t count_domains(const sheet::sheet& sheet, const model_id& model)
{
    std::set<region_id> regions;
    for (const auto& grant : sheet.grants) {
        if (grant.target == model.value())
            regions.insert(grant.regions.begin(), grant.regions.end());
    }
    return static_cast<std::uint64_t>(std::ranges::count_if(
        sheet.domains, [&](const auto& domain) { return regions.contains(domain.region); }));
}

/// Capacity for the minimum of replicas, so that a failure domain without endpoints gets some.
std::uint64_t smallest_demand(const sheet::sheet& sheet, const std::vector<control::capacity_offer>& offers)
{
    if (offers.empty())
        return 0;
    std::uint64_t replicas = 0;
    for (const auto& model : sheet.models)
        replicas += model.minimum_replicas * count_domains(sheet, model.model);
    return replicas * std::ranges::min(offers, {}, &control::capacity_offer::streams).streams;
}

} // namespace

capacity_executor::capacity_executor(entry_core& core, cloud::cloud_api& cloud,
                                     std::function<monotonic_time()> clock)
    : m_core(core), m_cloud(cloud), m_clock(std::move(clock))
{
}

capacity_executor::key_tuple capacity_executor::tuple_of(const control::offer_key& key)
{
    return {key.domain.value(), key.machine_class, key.kind};
}

asio::awaitable<void> capacity_executor::run(std::vector<cloud::instance_record> records,
                                             std::uint64_t fencing, permission_check permitted)
{
    const auto sheet = m_core.sheets.current();
    if (sheet == nullptr)
        co_return;
    const auto offers = co_await m_cloud.offers();
    const auto* offered = std::get_if<std::vector<cloud::cloud_offer>>(&offers);
    if (offered == nullptr)
        co_return;
    const auto instances = co_await m_cloud.instances();
    const auto* started = std::get_if<std::vector<cloud::cloud_instance>>(&instances);
    if (started == nullptr)
        co_return;
    for (auto& [key, tokens] : m_uncertain_tokens)
        std::erase_if(tokens, [&](const std::string& token) {
            return std::ranges::find(*started, token, &cloud::cloud_instance::client_token) != started->end();
        });
    auto snapshot = look(*offered, *started, records, sheet->value);
    const auto plan = m_planner.plan(snapshot, m_clock());
    const auto candidates = unlisted(*started, records);
    for (const auto& order : plan.orders) {
        if (order.key.domain != m_core.settings.failure_domain)
            continue;
        const auto* offer = find_offer(snapshot, order.key);
        const auto present = offer->running + offer->starting;
        if (order.count > present)
            co_await start_instances(order.key, order.count - present, fencing, permitted);
        if (order.count < present)
            co_await stop_instances(order.key, present - order.count, candidates, permitted);
    }
}

control::capacity_snapshot capacity_executor::look(const std::vector<cloud::cloud_offer>& offers,
                                                   const std::vector<cloud::cloud_instance>& instances,
                                                   const std::vector<cloud::instance_record>& records,
                                                   const sheet::sheet& sheet) const
{
    control::capacity_snapshot snapshot;
    snapshot.budgets = budgets_of(sheet);
    for (const auto& offer : offers)
        snapshot.offers.push_back({{offer.domain, offer.machine_class, to_control(offer.kind)},
                                   offer.price_microcents_per_second * seconds_per_hour,
                                   offer.capacity,
                                   0,
                                   0});
    // Instances of classes that are not on offer serve part of the demand, and the planner does not know
    // them.
    std::uint64_t covered = 0;
    for (const auto& record : records) {
        if (!is_model_endpoint(record))
            continue;
        if (auto* offer = find_offer(snapshot, key_of(record)); offer != nullptr)
            ++offer->running;
        else
            covered += record.capacity;
    }
    for (const auto& instance : unlisted(instances, records)) {
        if (auto* offer = find_offer(snapshot, key_of(instance)); offer != nullptr)
            ++offer->starting;
    }
    const auto demand =
        std::max<std::uint64_t>(estimate_demand(records), smallest_demand(sheet, snapshot.offers));
    snapshot.demand_streams = static_cast<std::uint32_t>(demand > covered ? demand - covered : 0);
    return snapshot;
}

std::uint32_t capacity_executor::estimate_demand(const std::vector<cloud::instance_record>& records) const
{
    // FIXME: Use the domain summaries of the peers. Until then the other failure domains are taken to be as
    // busy as the own one, and a domain without endpoints takes the others to be full.
    std::uint64_t own_streams = 0;
    std::uint64_t own_capacity = 0;
    std::uint64_t capacity = 0;
    for (const auto& record : records) {
        if (!is_model_endpoint(record))
            continue;
        capacity += record.capacity;
        if (record.domain != m_core.settings.failure_domain)
            continue;
        own_capacity += record.capacity;
        const auto load = m_core.table.find_load(endpoint_id(record.id.value()));
        if (load == nullptr)
            continue;
        // Without a load report only the own streams are known; the load balancer spreads callers evenly.
        own_streams += load->last_report_sequence() > 0
                           ? load->streams()
                           : std::uint64_t{load->own_streams()} * m_core.entries_in_domain.load();
    }
    if (own_capacity == 0)
        return static_cast<std::uint32_t>(capacity);
    return static_cast<std::uint32_t>((own_streams * capacity + own_capacity - 1) / own_capacity);
}

asio::awaitable<void> capacity_executor::start_instances(control::offer_key key, std::uint32_t count,
                                                         std::uint64_t fencing,
                                                         const permission_check& permitted)
{
    auto& uncertain = m_uncertain_tokens[tuple_of(key)];
    for (std::uint32_t number = 0; number < count && permitted(); ++number) {
        cloud::start_request wanted{key.machine_class, key.domain, to_platform(key.kind), ""};
        if (number < uncertain.size())
            wanted.client_token = uncertain[number];
        else
            wanted.client_token = m_core.settings.instance.value() + "/" + key.domain.value() + "/" +
                                  std::to_string(fencing) + "/" + std::to_string(m_next_token++);
        const auto token = wanted.client_token;
        log_event(event::order_sent, {{"class", key.machine_class},
                                      {"kind", std::string(to_string(wanted.kind))},
                                      {"action", "start"},
                                      {"fencing", std::to_string(fencing)}});
        const auto result = co_await m_cloud.start(std::move(wanted));
        if (std::holds_alternative<cloud::cloud_instance>(result)) {
            m_planner.start_accepted(key);
            continue;
        }
        if (const auto* refused = std::get_if<cloud::cloud_refused>(&result)) {
            log_event(event::order_refused,
                      {{"class", key.machine_class}, {"reason", std::string(to_string(refused->reason))}});
            m_planner.start_refused(key, m_clock());
        }
        if (std::holds_alternative<cloud::cloud_uncertain>(result) &&
            std::ranges::find(uncertain, token) == uncertain.end())
            uncertain.push_back(token);
        co_return;
    }
}

asio::awaitable<void> capacity_executor::stop_instances(control::offer_key key, std::uint32_t count,
                                                        const std::vector<cloud::cloud_instance>& candidates,
                                                        const permission_check& permitted)
{
    // FIXME: Stop instances that serve, after the routing of the whole failure domain has drained them. A
    // stop must not interrupt a request, so only instances that do not serve yet are stopped here.
    for (const auto& instance : candidates) {
        if (count == 0 || !permitted())
            co_return;
        if (key_of(instance) != key)
            continue;
        --count;
        log_event(event::order_sent, {{"instance", instance.id.value()}, {"action", "stop"}});
        instance_id id = instance.id;
        co_await m_cloud.stop(std::move(id));
    }
}

} // namespace siskinwharf::entry
