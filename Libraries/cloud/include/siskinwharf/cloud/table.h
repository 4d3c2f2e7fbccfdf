#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinwharf::cloud {

/// One row of the table service. The version of a row rises by one with each write and starts at 1.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    auto operator<=>(const table_row&) const = default;
};

/// The write takes effect only if the row does not exist.
struct require_absent {
    auto operator<=>(const require_absent&) const = default;
};

/// The write takes effect only if the row has this version.
struct require_version {
    std::uint64_t version = 0;

    auto operator<=>(const require_version&) const = default;
};

/// The write takes effect regardless of the row's state. Only some stores support it.
struct unconditional {
    auto operator<=>(const unconditional&) const = default;
};

/// Condition under which a write takes effect.
using write_condition = std::variant<require_absent, require_version, unconditional>;

/// One conditional write of a transaction. A missing value deletes the row.
struct table_write {
    std::string key;
    std::optional<std::string> value;
    write_condition condition;

    auto operator<=>(const table_write&) const = default;
};

/// Writes that take effect together or not at all.
struct table_transaction {
    std::vector<table_write> writes;

    auto operator<=>(const table_transaction&) const = default;
};

/// The transaction took effect.
struct table_committed {
    auto operator<=>(const table_committed&) const = default;
};

/// One write whose condition did not hold, with the current row if it exists.
struct table_conflict_row {
    std::size_t write_index = 0;
    std::optional<table_row> current;

    auto operator<=>(const table_conflict_row&) const = default;
};

/// Nothing took effect because at least one condition did not hold. Lists every such write.
struct table_conflict {
    std::vector<table_conflict_row> rows;

    auto operator<=>(const table_conflict&) const = default;
};

/// The request was not sent, or the service rejected it: nothing took effect and nothing will.
struct table_unavailable {
    auto operator<=>(const table_unavailable&) const = default;
};

/// The request was sent but its outcome is unknown: it may have taken effect, or may still do so later.
struct table_uncertain {
    auto operator<=>(const table_uncertain&) const = default;
};

/// Result of a commit.
using commit_result = std::variant<table_committed, table_conflict, table_unavailable, table_uncertain>;

/// Result of a read: the row, `std::nullopt` if it does not exist, or `table_unavailable` if the read failed.
using read_result = std::variant<std::optional<table_row>, table_unavailable>;

} // namespace siskinwharf::cloud
