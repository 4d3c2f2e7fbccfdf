#include "entry_core.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "live_request.h"
#include "siskinwharf/base/digest.h"

namespace siskinwharf::entry {

admission::content_key content_key_of(const request_spec& spec)
{
    return {spec.account, sha256_hex(spec.model.value() + "\n" + spec.prompt)};
}

admission::content_status entry_core::on_endpoint_lost(const admission::content_key& key,
                                                       const routing::endpoint_info& endpoint)
{
    const auto time = now();
    const auto crash = crashes.on_lost(endpoint, table, time);
    if (!crash)
        return quarantine.status(key, time);
    const auto status = quarantine.on_crash(key, *crash, time);
    admission::quarantine_record record;
    record.key = key;
    record.crashes.insert(*crash);
    record.remaining = admission::quarantine_limits{}.lifetime;
    std::vector<admission::quarantine_record> records;
    records.push_back(std::move(record));
    if (publish_quarantine)
        publish_quarantine(std::move(records));
    return status;
}

void entry_core::on_request_finished(const admission::content_key& key)
{
    auto cleared = quarantine.on_finished(key, now());
    if (cleared && publish_quarantine)
        publish_quarantine({std::move(*cleared)});
}

std::vector<admission::content_key>
entry_core::merge_quarantine(const std::vector<admission::quarantine_record>& records)
{
    const auto time = now();
    const auto is_quarantined = [&](const admission::content_key& key) {
        return quarantine.status(key, time) == admission::content_status::quarantined;
    };
    std::set<admission::content_key> candidates;
    for (const auto& record : records) {
        if (!is_quarantined(record.key))
            candidates.insert(record.key);
    }
    quarantine.merge(records, time);
    std::vector<admission::content_key> result;
    std::ranges::copy_if(candidates, std::back_inserter(result), is_quarantined);
    return result;
}

} // namespace siskinwharf::entry
