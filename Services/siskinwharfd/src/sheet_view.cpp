#include "sheet_view.h"

#include "siskinwharf/base/digest.h"

namespace siskinwharf::entry {

namespace {

template<typename Map, typename Key>
auto find_pointer(const Map& map, const Key& key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

sheet_view::sheet_view(std::shared_ptr<const sheet::versioned_sheet> source) : m_source(std::move(source))
{
    const auto& sheet = m_source->value;
    for (const auto& account : sheet.accounts) {
        for (const auto& digest : account.key_digests)
            m_accounts.emplace(digest, &account);
    }
    for (const auto& grant : sheet.grants)
        m_grants.emplace(std::pair(grant.account, grant.target), &grant);
    for (const auto& model : sheet.models)
        m_models.emplace(model.model, &model);
    for (const auto& service : sheet.services)
        m_services.emplace(service.service, &service);
}

const sheet::account_entry* sheet_view::find_account(std::string_view api_key) const
{
    return find_pointer(m_accounts, sha256_hex(api_key));
}

const sheet::grant_entry* sheet_view::find_grant(const account_id& account, const std::string& target) const
{
    return find_pointer(m_grants, std::pair(account, target));
}

const sheet::model_entry* sheet_view::find_model(const model_id& model) const
{
    return find_pointer(m_models, model);
}

const sheet::service_entry* sheet_view::find_service(const service_id& service) const
{
    return find_pointer(m_services, service);
}

} // namespace siskinwharf::entry
