#include "cloud_service.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "json.h"

namespace siskinwharf::standins {

namespace json = boost::json;

namespace {

json::object describe_offer(const cloud_offer& offer)
{
    return {
        {"class", offer.machine_class}, {"failure_domain", offer.failure_domain},
        {"kind", offer.kind},           {"price_microcents_per_second", offer.price_microcents_per_second},
        {"capacity", offer.capacity},   {"reclaims_per_hour", offer.reclaims_per_hour},
        {"available", offer.available}};
}

cloud_offer parse_offer(const json::object& members)
{
    cloud_offer offer;
    offer.machine_class = string_member(members, "class");
    offer.failure_domain = string_member(members, "failure_domain");
    offer.kind = string_member(members, "kind");
    offer.price_microcents_per_second = integer_member(members, "price_microcents_per_second");
    offer.capacity = integer_member(members, "capacity");
    offer.reclaims_per_hour = number_member(members, "reclaims_per_hour");
    offer.available = integer_member(members, "available", offer.available);
    if (offer.kind != "reclaimable" && offer.kind != "on_demand")
        throw bad_request("kind of an offer is not reclaimable or on_demand: " + offer.kind);
    return offer;
}

/// Default offers of one failure domain: on-demand costs three times as much, and each further domain a tenth
/// more, so that the choice of class, kind and domain matters.
void append_default_offers(std::vector<cloud_offer>& offers, const std::string& domain, std::int64_t index)
{
    constexpr std::array<std::pair<std::string_view, std::int64_t>, 2> classes{{{"small", 8}, {"large", 24}}};
    for (const auto& [machine_class, capacity] : classes) {
        const std::int64_t price = capacity * 1000 * (10 + index) / 10;
        const std::string name(machine_class);
        offers.push_back({name, domain, "reclaimable", price, capacity, 0.1});
        offers.push_back({name, domain, "on_demand", price * 3, capacity, 0});
    }
}

} // namespace

cloud_service::cloud_service(const platform_options& options) : m_options(options)
{
    std::string_view domains = options.failure_domains;
    for (std::int64_t index = 0; !domains.empty(); ++index) {
        const std::string_view domain = domains.substr(0, domains.find(','));
        append_default_offers(m_offers, std::string(domain), index);
        domains.remove_prefix(std::min(domain.size() + 1, domains.size()));
    }
}

json::object cloud_service::describe_offers() const
{
    json::array offers;
    for (const cloud_offer& offer : m_offers)
        offers.push_back(describe_offer(offer));
    return {{"offers", std::move(offers)}};
}

void cloud_service::replace_offers(const json::object& body)
{
    std::vector<cloud_offer> offers;
    for (const json::object& members : objects_member(body, "offers"))
        offers.push_back(parse_offer(members));
    m_offers = std::move(offers);
}

std::optional<json::object> cloud_service::start(const json::object& body, bool refuse, monotonic_time now)
{
    const std::string token = string_member(body, "client_token");
    if (token.empty())
        throw bad_request("client_token is missing");
    if (const auto found = m_tokens.find(token); found != m_tokens.end())
        return describe(m_instances.at(found->second), now);
    const std::string machine_class = string_member(body, "class");
    const std::string domain = string_member(body, "failure_domain");
    const std::string kind = string_member(body, "kind");
    const auto offer = std::find_if(m_offers.begin(), m_offers.end(), [&](const cloud_offer& entry) {
        return entry.machine_class == machine_class && entry.failure_domain == domain && entry.kind == kind;
    });
    if (offer == m_offers.end())
        throw bad_request("no offer of this class, failure domain and kind");
    if (refuse || m_refused_domains.contains(domain) || offer->available <= 0)
        return std::nullopt;
    --offer->available;
    instance started;
    started.number = m_instances.size() + 1;
    started.id = fmt::format("i-{:06}", started.number);
    started.offer = *offer;
    started.client_token = token;
    started.running = now + milliseconds(m_options.start_ms);
    m_tokens[token] = started.id;
    const auto inserted = m_instances.emplace(started.id, started).first;
    return describe(inserted->second, now);
}

std::string cloud_service::state_of(const instance& entry, monotonic_time now)
{
    if (entry.ends <= now)
        return entry.reclaimed ? "reclaimed" : "stopped";
    if (entry.reclaimed)
        return "leaving";
    return entry.running <= now ? "running" : "starting";
}

json::object cloud_service::describe(const instance& entry, monotonic_time now)
{
    const auto billed = std::chrono::duration_cast<milliseconds>(std::min(entry.ends, now) - entry.running);
    return {{"id", entry.id},
            {"class", entry.offer.machine_class},
            {"failure_domain", entry.offer.failure_domain},
            {"kind", entry.offer.kind},
            {"client_token", entry.client_token},
            {"price_microcents_per_second", entry.offer.price_microcents_per_second},
            {"billed_ms", std::max<std::int64_t>(billed.count(), 0)},
            {"state", state_of(entry, now)}};
}

json::object cloud_service::describe_instances(monotonic_time now) const
{
    json::array instances;
    for (const auto& [id, entry] : m_instances)
        instances.push_back(describe(entry, now));
    return {{"instances", std::move(instances)}};
}

bool cloud_service::stop(const std::string& id, monotonic_time now)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return false;
    instance& stopped = found->second;
    if (stopped.ends <= now)
        return true;
    stopped.ends = now;
    for (cloud_offer& offer : m_offers) {
        if (offer.machine_class == stopped.offer.machine_class && offer.kind == stopped.offer.kind &&
            offer.failure_domain == stopped.offer.failure_domain)
            ++offer.available;
    }
    return true;
}

std::vector<std::string> cloud_service::reclaimable_in(const std::string& failure_domain,
                                                       monotonic_time now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, entry] : m_instances) {
        if (entry.offer.failure_domain == failure_domain && entry.offer.kind == "reclaimable" &&
            entry.ends > now && !entry.reclaimed)
            ids.push_back(id);
    }
    return ids;
}

void cloud_service::reclaim(const std::string& id, const std::string& failure_domain, milliseconds delay,
                            monotonic_time now)
{
    std::string domain = failure_domain;
    if (const auto found = m_instances.find(id); found != m_instances.end()) {
        found->second.reclaimed = true;
        found->second.ends = std::min(found->second.ends, now + delay);
        domain = found->second.offer.failure_domain;
    }
    m_notices.push_back({m_notices.size() + 1, id, domain, now + delay});
}

json::object cloud_service::describe_notices(std::uint64_t after, monotonic_time now) const
{
    json::array notices;
    for (const notice& entry : m_notices) {
        if (entry.sequence <= after)
            continue;
        const auto left = std::chrono::duration_cast<milliseconds>(entry.leaves - now);
        notices.push_back(json::object{{"sequence", entry.sequence},
                                       {"id", entry.id},
                                       {"failure_domain", entry.failure_domain},
                                       {"leaves_in_ms", std::max<std::int64_t>(left.count(), 0)}});
    }
    return {{"notices", std::move(notices)}, {"last", m_notices.size()}};
}

} // namespace siskinwharf::standins
