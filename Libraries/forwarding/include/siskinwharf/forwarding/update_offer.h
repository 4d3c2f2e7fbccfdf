#pragma once

#include <compare>
#include <cstdint>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/store_position.h"
#include "siskinwharf/settings/socket_address.h"

namespace siskinwharf::forwarding {

/// What processes read from the store or fetch from peers. Each has versions of its own.
enum class shared_item { configuration, endpoint_list };

/// Positions of the configuration and of the endpoint list.
struct known_versions {
    configuration_position configuration;
    store_position list;

    auto operator<=>(const known_versions&) const = default;

    /// Whether these versions hold a newer `item` than the others.
    [[nodiscard]] bool is_newer(shared_item item, const known_versions& others) const
    {
        return item == shared_item::configuration ? configuration > others.configuration : list > others.list;
    }
};

/// A peer that has a newer version of an item than this process.
struct update_offer {
    instance_id process;
    settings::socket_address address;
    known_versions versions;
    bool is_in_domain = false; ///< In the failure domain of this process.
    std::uint64_t rank = 0;    ///< A higher one is asked first. Differs between the processes that ask.

    auto operator<=>(const update_offer&) const = default;
};

} // namespace siskinwharf::forwarding
