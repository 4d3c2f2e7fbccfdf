#include "model_assignment.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace siskinwharf::entry {

namespace {

/// The sheet states no roles; every engine both prefills and decodes.
constexpr auto only_role = "both";

struct model_need {
    const sheet::model_entry* entry = nullptr;
    std::int64_t missing = 0; ///< Replicas; negative for more than the minimum.
};

bool is_granted(const sheet::sheet& sheet, const sheet::model_entry& model, const region_id& region)
{
    return std::ranges::any_of(sheet.grants, [&](const sheet::grant_entry& grant) {
        return grant.target == model.model.value() &&
               std::ranges::find(grant.regions, region) != grant.regions.end();
    });
}

assigned_model assign(const cloud::instance_record& record, model_need& need)
{
    --need.missing;
    assigned_model result;
    result.address = {record.address, record.port};
    result.support = need.entry->fencing;
    result.wanted = {need.entry->model, need.entry->version, need.entry->adapters, only_role};
    // Engines report adapters in any order; both sides are compared sorted.
    std::ranges::sort(result.wanted.adapters);
    return result;
}

/// The need that an engine without a place in the sheet meets best, or null.
model_need* choose(std::vector<model_need>& needs, const model_id& model)
{
    const auto more_missing = [](const model_need& left, const model_need& right) {
        return left.missing < right.missing;
    };
    std::vector<model_need>::iterator best = needs.end();
    for (auto need = needs.begin(); need != needs.end(); ++need) {
        if (need->entry->model == model && (best == needs.end() || more_missing(*best, *need)))
            best = need;
    }
    if (best != needs.end())
        return &*best;
    best = std::ranges::max_element(needs, more_missing);
    return best != needs.end() && best->missing > 0 ? &*best : nullptr;
}

} // namespace

std::map<endpoint_id, assigned_model> assign_models(const sheet::sheet& sheet,
                                                    const std::vector<cloud::instance_record>& records,
                                                    const failure_domain_id& domain)
{
    std::map<endpoint_id, assigned_model> result;
    const auto own = std::ranges::find(sheet.domains, domain, &sheet::domain_entry::domain);
    if (own == sheet.domains.end())
        return result;
    std::vector<model_need> needs;
    for (const auto& model : sheet.models) {
        const bool is_needed = is_granted(sheet, model, own->region);
        needs.push_back({&model, is_needed ? std::int64_t{model.minimum_replicas} : 0});
    }
    std::map<endpoint_id, const cloud::instance_record*> open;
    for (const auto& record : records) {
        const auto* serves = std::get_if<cloud::serves_model>(&record.serves);
        if (serves == nullptr || record.leaving || record.domain != domain)
            continue;
        const endpoint_id id(record.id.value());
        const auto need = std::ranges::find_if(needs, [&](const model_need& candidate) {
            return candidate.entry->model == serves->model && candidate.entry->version == serves->version;
        });
        if (need != needs.end())
            result.emplace(id, assign(record, *need));
        else
            open.emplace(id, &record);
    }
    // In the order of the ids, so that every holder of the lease assigns the same.
    for (const auto& [id, record] : open) {
        if (auto* need = choose(needs, std::get<cloud::serves_model>(record->serves).model))
            result.emplace(id, assign(*record, *need));
    }
    return result;
}

} // namespace siskinwharf::entry
