#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "siskinwharf/peer/messages.h"

namespace siskinwharf::membership {

/// News that still has to be sent some number of times. The least sent news goes first.
class gossip_queue {
public:
    /// Replaces older news about the same member or endpoint.
    void add(const peer::member_update& update, std::uint32_t transmissions);
    void add(const peer::endpoint_notice& notice, std::uint32_t transmissions);

    /// Appends as much news as fits into `budget` bytes and counts it as sent.
    void append_to(peer::gossip& news, std::size_t budget);

private:
    template<typename News>
    struct item {
        News news;
        std::uint32_t remaining = 0;
    };

    std::vector<item<peer::member_update>> m_members;
    std::vector<item<peer::endpoint_notice>> m_endpoints;
};

/// Upper bounds of encoded sizes in bytes: strings, headers and integers of at most 10 bytes each.
[[nodiscard]] std::size_t encoded_size(const peer::member_update& update);
[[nodiscard]] std::size_t encoded_size(const peer::endpoint_notice& notice);

} // namespace siskinwharf::membership
