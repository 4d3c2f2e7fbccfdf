#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/cloud/table.h"

namespace siskinwharf::cloud {

/// Interface to the platform's transactional table service. Implementations bound each call by a timeout.
class table_store {
public:
    table_store() = default;
    table_store(const table_store&) = delete;
    table_store& operator=(const table_store&) = delete;
    table_store(table_store&&) = delete;
    table_store& operator=(table_store&&) = delete;
    virtual ~table_store() = default;

    /// Number that rises each time the store was restored from an older copy, as named by its newest answer.
    /// 0 for a store that names none. A condition is only as good as the era in which its version was read.
    [[nodiscard]] virtual std::uint64_t era() const { return 0; }
    /// Commits all writes of a transaction, or none. After `table_uncertain` the caller must find
    /// out whether it took effect.
    virtual boost::asio::awaitable<commit_result> commit(table_transaction transaction) = 0;
    /// Reads one row by its key.
    virtual boost::asio::awaitable<read_result> read(std::string key) = 0;
};

} // namespace siskinwharf::cloud
