#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "csv.h"
#include "draft.h"

namespace siskinwharf::sheet {

namespace {

constexpr std::uint64_t whole_spend_percent = 100;

class reference_checker {
public:
    reference_checker(const draft& rows, std::vector<sheet_fault>& faults) : m_rows(rows), m_faults(faults) {}

    void run()
    {
        check_keys();
        check_domains();
        check_digests();
        check_grants();
        check_counts();
    }

private:
    template<typename Entry, typename KeyOf>
    void check_unique(const std::vector<located<Entry>>& entries, std::string_view what, const KeyOf& key_of)
    {
        std::map<std::string, std::size_t> first_lines;
        for (const auto& [line, entry] : entries) {
            const std::string key = key_of(entry);
            if (const auto [first, is_new] = first_lines.emplace(key, line); !is_new)
                add_fault(line, "name", key,
                          fmt::format("a {} other than that of line {}", what, first->second));
        }
    }

    void check_keys()
    {
        check_unique(m_rows.regions, "region", [](const auto& entry) { return entry.region.value(); });
        check_unique(m_rows.domains, "failure domain",
                     [](const auto& entry) { return entry.domain.value(); });
        check_unique(m_rows.models, "model and version",
                     [](const auto& entry) { return entry.model.value() + " " + entry.version; });
        check_unique(m_rows.services, "service", [](const auto& entry) { return entry.service.value(); });
        check_unique(m_rows.accounts, "account", [](const auto& entry) { return entry.account.value(); });
        for (const auto& row : m_rows.models)
            m_targets.insert(row.entry.model.value());
        for (const auto& [line, entry] : m_rows.services) {
            // A grant names its target only by name, so a model and a service cannot share one.
            if (!m_targets.insert(entry.service.value()).second)
                add_fault(line, "name", entry.service.value(), "a name that no model or other service has");
        }
    }

    void check_domains()
    {
        for (const auto& row : m_rows.regions)
            m_regions.insert(row.entry.region);
        std::set<region_id> served;
        std::uint64_t sum = 0;
        for (const auto& [line, entry] : m_rows.domains) {
            check_region(line, entry.region);
            served.insert(entry.region);
            const bool was_within = sum <= whole_spend_percent;
            sum += entry.spend_percent;
            if (was_within && sum > whole_spend_percent) {
                add_fault(line, "spend_percent", fmt::format("{}", entry.spend_percent),
                          fmt::format("a sum of at most {} over all failure domains", whole_spend_percent));
            }
        }
        for (const auto& [line, entry] : m_rows.regions) {
            if (!served.contains(entry.region))
                add_fault(line, "name", entry.region.value(), "a region with at least one domain row");
        }
    }

    void check_digests()
    {
        std::map<std::string, std::size_t> first_lines;
        for (const auto& [line, entry] : m_rows.accounts) {
            for (const std::string& digest : entry.key_digests) {
                const auto [first, is_new] = first_lines.emplace(digest, line);
                // An API key identifies one account. Duplicates in one row are found when the row is read.
                if (!is_new && first->second != line) {
                    add_fault(line, "key_digests", digest,
                              fmt::format("a digest that line {} does not have", first->second));
                }
            }
        }
    }

    void check_grants()
    {
        std::set<account_id> accounts;
        for (const auto& row : m_rows.accounts)
            accounts.insert(row.entry.account);
        std::map<std::tuple<account_id, std::string, region_id>, std::size_t> first_lines;
        for (const auto& [line, entry] : m_rows.grants) {
            if (!accounts.contains(entry.account))
                add_fault(line, "name", entry.account.value(), "the name of an account row");
            if (!m_targets.contains(entry.target))
                add_fault(line, "target", entry.target, "the name of a model or service row");
            for (const region_id& region : entry.regions) {
                check_region(line, region);
                const auto [first, is_new] =
                    first_lines.emplace(std::tuple(entry.account, entry.target, region), line);
                if (!is_new && first->second != line) {
                    add_fault(line, "regions", region.value(),
                              fmt::format("a region that line {} does not grant already", first->second));
                }
            }
        }
    }

    void check_counts()
    {
        if (m_rows.regions.empty())
            add_fault(0, "kind", "no region row", "at least one region row");
        if (m_rows.spends.empty())
            add_fault(0, "kind", "no spend row", "one spend row");
        for (std::size_t index = 1; index < m_rows.spends.size(); ++index)
            add_fault(m_rows.spends[index].line, "kind", "another spend row", "one spend row");
    }

    void check_region(std::size_t line, const region_id& region)
    {
        if (!m_regions.contains(region))
            add_fault(line, "regions", region.value(), "the name of a region row");
    }

    void add_fault(std::size_t line, std::string field, std::string_view found, std::string allowed)
    {
        m_faults.push_back({.line = line,
                            .field = std::move(field),
                            .found = printable(found),
                            .allowed = std::move(allowed)});
    }

    const draft& m_rows;
    std::vector<sheet_fault>& m_faults;
    std::set<region_id> m_regions;
    std::set<std::string> m_targets;
};

} // namespace

void check_references(const draft& rows, std::vector<sheet_fault>& faults)
{
    reference_checker(rows, faults).run();
}

} // namespace siskinwharf::sheet
