#include "siskinwharf/exchange/part_crash_update.h"

#include "wire_conversion.h"

namespace siskinwharf::exchange {

part_crash_update from_wire(const wire::part_crash_update& value)
{
    part_crash_update result{instance_id(value.process), to_unsigned(value.start), {}};
    for (const auto& entry : value.parts) {
        auto& record = result.parts.emplace_back();
        record.part = to_unsigned(entry.part);
        record.position = to_count(entry.position);
        const auto crashes = std::min(entry.crashes.size(), entry.ages_ms.size());
        for (std::size_t index = 0; index < crashes; ++index)
            record.crashes.push_back({to_unsigned(entry.crashes[index]), to_age(entry.ages_ms[index])});
        if (entry.answered_age_ms >= 0)
            record.answered_age = to_age(entry.answered_age_ms);
    }
    return result;
}

std::string encode(const part_crash_update& update)
{
    wire::part_crash_update result;
    result.process = update.process.value();
    result.start = to_signed(update.start);
    for (const auto& record : update.parts) {
        auto& entry = result.parts.emplace_back();
        entry.part = to_signed(record.part);
        entry.position = static_cast<std::int32_t>(record.position);
        for (const auto& [crash, age] : record.crashes) {
            entry.crashes.push_back(to_signed(crash));
            entry.ages_ms.push_back(age.count());
        }
        if (record.answered_age)
            entry.answered_age_ms = record.answered_age->count();
    }
    return write(result);
}

} // namespace siskinwharf::exchange
