#include "siskinwharf/deployment/snapshot.h"

#include <algorithm>
#include <utility>

namespace siskinwharf::deployment {

snapshot::snapshot(snapshot_content content) : m_content(std::move(content))
{
    for (std::size_t index = 0; index < m_content.routes.size(); ++index) {
        m_routes_of_host[m_content.routes[index].host].push_back(index);
        m_ranks.push_back(m_content.routes[index].rank);
    }
    for (auto& [host, indexes] : m_routes_of_host) {
        std::ranges::stable_sort(indexes, [this](std::size_t left, std::size_t right) {
            return m_content.routes[left].path_prefix.size() > m_content.routes[right].path_prefix.size();
        });
    }
    for (std::size_t index = 0; index < m_content.accounts.size(); ++index) {
        const auto& entry = m_content.accounts[index];
        m_accounts.emplace(entry.id, index);
        for (const auto& key : entry.keys) {
            if (!key.empty())
                m_account_of_key.emplace(key, index);
        }
        if (entry.rank)
            m_ranks.push_back(*entry.rank);
        m_has_quotas = m_has_quotas || entry.quota_per_second > 0;
    }
    for (std::size_t index = 0; index < m_content.services.size(); ++index)
        m_services.emplace(m_content.services[index].id, index);
    std::ranges::sort(m_ranks);
    m_ranks.erase(std::unique(m_ranks.begin(), m_ranks.end()), m_ranks.end());
}

const route* snapshot::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes_of_host.find(std::string(host));
    if (found == m_routes_of_host.end())
        return nullptr;
    for (const auto index : found->second) {
        if (path.starts_with(m_content.routes[index].path_prefix))
            return &m_content.routes[index];
    }
    return nullptr;
}

const account* snapshot::find_account(std::string_view key) const
{
    const auto found = m_account_of_key.find(std::string(key));
    return found == m_account_of_key.end() ? nullptr : &m_content.accounts[found->second];
}

bool snapshot::is_open(const route& route) const
{
    return route.is_public || m_content.access == caller_access::everyone;
}

const account* snapshot::find_account(const account_id& id) const
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &m_content.accounts[found->second];
}

const service* snapshot::find_service(const service_id& id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &m_content.services[found->second];
}

std::size_t snapshot::urgency(std::uint32_t rank) const
{
    const auto position = std::ranges::lower_bound(m_ranks, rank);
    return static_cast<std::size_t>(position - m_ranks.begin());
}

const service_id& choose_service(const route& from, std::uint64_t request_hash)
{
    std::uint64_t total = 0;
    for (const auto& share : from.shares)
        total += share.weight;
    if (total == 0)
        return from.shares.front().service;
    auto remaining = request_hash % total;
    for (const auto& share : from.shares) {
        if (remaining < share.weight)
            return share.service;
        remaining -= share.weight;
    }
    return from.shares.back().service;
}

} // namespace siskinwharf::deployment
