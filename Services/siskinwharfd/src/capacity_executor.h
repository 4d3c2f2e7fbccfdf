#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "entry_core.h"
#include "siskinwharf/cloud/cloud_api.h"
#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/control/capacity_planner.h"

namespace siskinwharf::entry {

/// Plans the capacity of all failure domains and starts and stops the instances of the own one. Runs on the
/// control thread, one run at a time.
class capacity_executor {
public:
    /// Whether a request that changes something may be sent now.
    using permission_check = std::function<bool()>;

    capacity_executor(entry_core& core, cloud::cloud_api& cloud, std::function<monotonic_time()> clock);

    /// Reads the state of the cloud, plans, and executes the plan while `permitted` says so. `fencing` makes
    /// the client tokens of different lease holders differ.
    boost::asio::awaitable<void> run(std::vector<cloud::instance_record> records, std::uint64_t fencing,
                                     permission_check permitted);

private:
    using key_tuple = std::tuple<std::string, std::string, control::instance_kind>;

    [[nodiscard]] control::capacity_snapshot look(const std::vector<cloud::cloud_offer>& offers,
                                                  const std::vector<cloud::cloud_instance>& instances,
                                                  const std::vector<cloud::instance_record>& records,
                                                  const sheet::sheet& sheet) const;
    /// Streams that all failure domains serve now.
    [[nodiscard]] std::uint32_t estimate_demand(const std::vector<cloud::instance_record>& records) const;
    boost::asio::awaitable<void> start_instances(control::offer_key key, std::uint32_t count,
                                                 std::uint64_t fencing, const permission_check& permitted);
    boost::asio::awaitable<void> stop_instances(control::offer_key key, std::uint32_t count,
                                                const std::vector<cloud::cloud_instance>& candidates,
                                                const permission_check& permitted);
    [[nodiscard]] static key_tuple tuple_of(const control::offer_key& key);

    entry_core& m_core;
    cloud::cloud_api& m_cloud;
    std::function<monotonic_time()> m_clock;
    control::capacity_planner m_planner{control::capacity_settings{}};
    std::uint64_t m_next_token = 1;
    /// Client tokens of starts that may have taken effect. They are used again before new ones, so that a
    /// start with an unknown outcome does not become two instances.
    std::map<key_tuple, std::vector<std::string>> m_uncertain_tokens;
};

} // namespace siskinwharf::entry
