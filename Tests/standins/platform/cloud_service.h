#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "platform_options.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// One machine class in one failure domain at a price.
struct cloud_offer {
    std::string machine_class;
    std::string failure_domain;
    std::string kind; ///< `reclaimable` or `on_demand`.
    std::int64_t price_microcents_per_second = 0;
    std::int64_t capacity = 0;          ///< Streams that an engine on this class serves at once.
    double reclaims_per_hour = 0;       ///< Expected number for one instance.
    std::int64_t available = 1'000'000; ///< Instances that can still be started.
};

/// The cloud API: offers, started instances and reclaim notices. It records instances and starts no process.
class cloud_service {
public:
    explicit cloud_service(const platform_options& options);

    /// Body of `GET /cloud/offers`.
    [[nodiscard]] boost::json::object describe_offers() const;
    /// Replaces all offers by those of the same body. Throws `bad_request`.
    void replace_offers(const boost::json::object& body);
    /// Refuses new instances in these failure domains.
    void refuse_domains(std::set<std::string> domains) { m_refused_domains = std::move(domains); }

    /// Starts an instance, or returns the one that was started with the same client token. Returns nothing if
    /// there is no capacity. Throws `bad_request` if there is no such offer.
    std::optional<boost::json::object> start(const boost::json::object& body, bool refuse,
                                             monotonic_time now);
    /// Body of `GET /cloud/instances`.
    [[nodiscard]] boost::json::object describe_instances(monotonic_time now) const;
    /// Ends an instance. False if there is no such instance.
    bool stop(const std::string& id, monotonic_time now);

    [[nodiscard]] std::vector<std::string> reclaimable_in(const std::string& failure_domain,
                                                          monotonic_time now) const;
    /// Announces that an instance is taken back. It need not be one that was started here.
    void reclaim(const std::string& id, const std::string& failure_domain, milliseconds delay,
                 monotonic_time now);
    /// Body of `GET /cloud/notices`.
    [[nodiscard]] boost::json::object describe_notices(std::uint64_t after, monotonic_time now) const;

private:
    struct instance {
        std::string id;
        std::size_t number = 0;
        cloud_offer offer;
        std::string client_token;
        monotonic_time running{};
        monotonic_time ends = monotonic_time::max();
        bool reclaimed = false;
    };
    struct notice {
        std::uint64_t sequence = 0;
        std::string id;
        std::string failure_domain;
        monotonic_time leaves{};
    };

    [[nodiscard]] static std::string state_of(const instance& entry, monotonic_time now);
    [[nodiscard]] static boost::json::object describe(const instance& entry, monotonic_time now);

    platform_options m_options;
    std::vector<cloud_offer> m_offers;
    std::set<std::string> m_refused_domains;
    std::map<std::string, instance> m_instances;
    std::map<std::string, std::string> m_tokens; // Client token to instance id.
    std::vector<notice> m_notices;
};

} // namespace siskinwharf::standins
