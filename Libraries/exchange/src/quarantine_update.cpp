#include "siskinwharf/exchange/quarantine_update.h"

#include "wire_conversion.h"

namespace siskinwharf::exchange {

quarantine_update from_wire(const wire::quarantine_update& value)
{
    quarantine_update result{instance_id(value.process), to_unsigned(value.start), {}};
    for (const auto& record : value.crashes) {
        admission::quarantine_record entry{
            {account_id(record.account), record.digest}, {}, milliseconds(record.remaining_ms)};
        for (const auto crash : record.crashes)
            entry.crashes.insert(to_unsigned(crash));
        result.crashes.push_back(std::move(entry));
    }
    return result;
}

std::string encode(const quarantine_update& update)
{
    wire::quarantine_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    for (const auto& record : update.crashes) {
        auto& entry = result.crashes.emplace_back();
        entry.account = record.key.account.value();
        entry.digest = record.key.digest;
        for (const auto crash : record.crashes)
            entry.crashes.push_back(to_signed(crash));
        entry.remaining_ms = record.remaining.count();
    }
    return write(result);
}

std::vector<quarantine_update> quarantine_updates(const instance_id& process, std::uint64_t start,
                                                  const std::vector<admission::quarantine_record>& crashes)
{
    return split_into_messages<quarantine_update>(process, start, crashes,
                                                  maximum_quarantine_records_per_message);
}

} // namespace siskinwharf::exchange
