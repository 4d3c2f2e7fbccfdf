#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/json.hpp>

#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// The platform's list of live and leaving instances. Reads show the list as it was at an earlier time.
class instance_registry {
public:
    /// Adds or replaces an instance. Members as in docs/standins.md. Throws `bad_request`.
    void put(const std::string& id, const boost::json::object& members, monotonic_time now);
    /// False if there is no such instance.
    bool remove(const std::string& id, monotonic_time now);
    /// Marks an instance as leaving; it is removed after `delay`. False if there is no such instance.
    bool leave(const std::string& id, milliseconds delay, monotonic_time now);
    /// The reclaimable instances of a failure domain.
    [[nodiscard]] std::vector<std::string> reclaimable_in(const std::string& failure_domain,
                                                          monotonic_time now) const;
    /// The failure domain of an instance; empty if there is no such instance.
    [[nodiscard]] std::string failure_domain_of(const std::string& id, monotonic_time now) const;
    /// Body of `GET /instances` as of the time `shown`. Times until leaving count from `now`.
    [[nodiscard]] boost::json::object list(monotonic_time shown, monotonic_time now) const;
    /// Entity tag of that body. It is a weak one, because the times until leaving do not change it.
    [[nodiscard]] std::string tag(monotonic_time shown) const;
    /// Forgets what was overwritten before `shown`.
    void prune(monotonic_time shown);

private:
    struct version {
        monotonic_time since{};
        boost::json::object members; // Empty if the instance is removed.
        monotonic_time leaves = monotonic_time::max();
    };

    /// The version of one instance that was in force at `time`; null if there was none.
    [[nodiscard]] static const version* find_version(const std::deque<version>& versions,
                                                     monotonic_time time);
    [[nodiscard]] const version* find_present(const std::string& id, monotonic_time now) const;

    std::map<std::string, std::deque<version>> m_instances;
};

} // namespace siskinwharf::standins
