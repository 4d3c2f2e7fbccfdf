#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "siskinwharf/sheet/sheet_register.h"

namespace siskinwharf::entry {

/// Indexes of a sheet for the path of a request. Immutable; made once for each thread and version.
class sheet_view {
public:
    explicit sheet_view(std::shared_ptr<const sheet::versioned_sheet> source);

    [[nodiscard]] std::uint64_t version() const { return m_source->version; }
    /// Account of an API key, or null. Keys are compared by their SHA-256 digest.
    [[nodiscard]] const sheet::account_entry* find_account(std::string_view api_key) const;
    /// Grant of a model or service to an account, or null.
    [[nodiscard]] const sheet::grant_entry* find_grant(const account_id& account,
                                                       const std::string& target) const;
    [[nodiscard]] const sheet::model_entry* find_model(const model_id& model) const;
    /// Versions that serve a request for a model, the newest first.
    [[nodiscard]] std::vector<std::string> serving_versions(const model_id& model) const
    {
        return m_source->serving_versions(model);
    }
    [[nodiscard]] const sheet::service_entry* find_service(const service_id& service) const;
    [[nodiscard]] const sheet::sheet& value() const { return m_source->value; }

private:
    std::shared_ptr<const sheet::versioned_sheet> m_source;
    std::map<std::string, const sheet::account_entry*, std::less<>> m_accounts;
    std::map<std::pair<account_id, std::string>, const sheet::grant_entry*> m_grants;
    std::map<model_id, const sheet::model_entry*> m_models;
    std::map<service_id, const sheet::service_entry*> m_services;
};

} // namespace siskinwharf::entry
