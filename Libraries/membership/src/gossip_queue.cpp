#include "gossip_queue.h"

#include <algorithm>

namespace siskinwharf::membership {

namespace {

const instance_id& subject(const peer::member_update& update)
{
    return update.member;
}

const endpoint_id& subject(const peer::endpoint_notice& notice)
{
    return notice.endpoint;
}

template<typename Item, typename News>
void add_item(std::vector<Item>& items, const News& news, std::uint32_t transmissions)
{
    std::erase_if(items, [&](const Item& item) { return subject(item.news) == subject(news); });
    items.push_back({news, transmissions});
}

// Moves news that fits into `output` and returns the bytes left.
template<typename Item, typename News>
std::size_t take_items(std::vector<Item>& items, std::vector<News>& output, std::size_t budget)
{
    std::stable_sort(items.begin(), items.end(),
                     [](const Item& left, const Item& right) { return left.remaining > right.remaining; });
    for (Item& item : items) {
        const std::size_t size = encoded_size(item.news);
        if (size > budget)
            break;
        budget -= size;
        output.push_back(item.news);
        --item.remaining;
    }
    std::erase_if(items, [](const Item& item) { return item.remaining == 0; });
    return budget;
}

} // namespace

std::size_t encoded_size(const peer::member_update& update)
{
    constexpr std::size_t headers_and_integers = 28;
    return headers_and_integers + update.member.value().size() + update.contact.host.size();
}

std::size_t encoded_size(const peer::endpoint_notice& notice)
{
    constexpr std::size_t headers_and_integers = 18;
    return headers_and_integers + notice.endpoint.value().size();
}

void gossip_queue::add(const peer::member_update& update, std::uint32_t transmissions)
{
    add_item(m_members, update, transmissions);
}

void gossip_queue::add(const peer::endpoint_notice& notice, std::uint32_t transmissions)
{
    add_item(m_endpoints, notice, transmissions);
}

void gossip_queue::append_to(peer::gossip& news, std::size_t budget)
{
    // Endpoint notices go first: they stop new work from failing, and they have a deadline of 2 s.
    const std::size_t left = take_items(m_endpoints, news.endpoints, budget);
    take_items(m_members, news.members, left);
}

} // namespace siskinwharf::membership
