#include "entry_core.h"

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

void entry_core::merge_quarantine(const std::vector<admission::quarantine_record>& records)
{
    quarantine.merge(records, now());
}

} // namespace siskinwharf::entry
