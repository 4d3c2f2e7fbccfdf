#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::sheet {

/// The columns of a sheet text, in their order.
enum class column : std::size_t {
    kind,
    name,
    regions,
    target,
    version,
    adapters,
    fencing,
    minimum_replicas,
    non_idempotent_prefixes,
    key_digests,
    share,
    egress_cents_per_gigabyte,
    spend_percent,
    first_token_ms,
    between_tokens_ms,
    cents_per_hour,
};

inline constexpr std::array<std::string_view, 16> column_names{
    "kind",
    "name",
    "regions",
    "target",
    "version",
    "adapters",
    "fencing",
    "minimum_replicas",
    "non_idempotent_prefixes",
    "key_digests",
    "share",
    "egress_cents_per_gigabyte",
    "spend_percent",
    "first_token_ms",
    "between_tokens_ms",
    "cents_per_hour",
};

/// Separates the values of a list within one cell.
inline constexpr char list_separator = ' ';

/// One row as text, one cell for each column.
using row_cells = std::vector<std::string>;

[[nodiscard]] row_cells to_cells(const region_entry& entry);
[[nodiscard]] row_cells to_cells(const domain_entry& entry);
[[nodiscard]] row_cells to_cells(const model_entry& entry);
[[nodiscard]] row_cells to_cells(const service_entry& entry);
[[nodiscard]] row_cells to_cells(const account_entry& entry);
[[nodiscard]] row_cells to_cells(const grant_entry& entry);
[[nodiscard]] row_cells spend_cells(std::uint64_t cents_per_hour);

/// Sorts all entries and the lists in them.
void sort_entries(sheet& value);

} // namespace siskinwharf::sheet
