#pragma once

#include <cstddef>
#include <vector>

#include "siskinwharf/sheet/sheet.h"
#include "siskinwharf/sheet/sheet_error.h"

namespace siskinwharf::sheet {

/// An entry and the line that it was read from.
template<typename Entry>
struct located {
    std::size_t line = 0;
    Entry entry;
};

/// The entries of a sheet text before the checks between rows.
struct draft {
    std::vector<located<region_entry>> regions;
    std::vector<located<domain_entry>> domains;
    std::vector<located<model_entry>> models;
    std::vector<located<service_entry>> services;
    std::vector<located<account_entry>> accounts;
    std::vector<located<grant_entry>> grants;
    std::vector<located<std::uint64_t>> spends;
};

/// Appends a fault for each duplicate, each reference to a missing row and each sum that is too large.
void check_references(const draft& rows, std::vector<sheet_fault>& faults);

} // namespace siskinwharf::sheet
