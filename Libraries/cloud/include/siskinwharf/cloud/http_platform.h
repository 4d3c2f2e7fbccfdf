#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "siskinwharf/cloud/cloud_api.h"
#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/cloud/table_store.h"
#include "siskinwharf/http/client.h"

namespace siskinwharf::cloud {

/// Address, caller name and call timeout for the platform's HTTP interface.
struct platform_access {
    http::address target;
    std::string instance; ///< Sent as `Siskinwharf-Instance`, so that the platform's logs name the caller.
    milliseconds timeout{1'000};
};

/// Table service over HTTP and JSON. Must be used from the thread of its executor.
class http_table_store final : public table_store {
public:
    /// `client` must outlive this object.
    http_table_store(http::client& client, platform_access access);

    /// The highest value of the header `Siskinwharf-Table-Era` so far. An answer of an earlier era than the
    /// newest seen counts as no answer.
    [[nodiscard]] std::uint64_t era() const override { return m_era; }
    /// Commits all writes of a transaction, or none. Not retried here. The answer of another era than that of
    /// the answers before is `table_uncertain`: the conditions are of another history.
    boost::asio::awaitable<commit_result> commit(table_transaction transaction) override;
    /// Reads one row by its key. An error or a malformed answer is `table_unavailable`.
    boost::asio::awaitable<read_result> read(std::string key) override;

private:
    /// Takes the era that an answer names. False if the answer is of an earlier one.
    [[nodiscard]] bool observe_era(const http::response& answer);

    http::client& m_client;
    platform_access m_access;
    std::uint64_t m_era = 0;
    bool m_has_answered = false;
};

/// Instance list over HTTP and JSON, with conditional requests (RFC 9110, section 13): the tag is the entity
/// tag of the answer. Must be used from the thread of its executor.
class http_instance_list final : public instance_list {
public:
    /// `client` must outlive this object.
    http_instance_list(http::client& client, platform_access access);

    /// Reads the list unless its entity tag still equals `known_tag`. An empty tag reads it unconditionally.
    boost::asio::awaitable<list_result> read(std::string known_tag) override;

private:
    http::client& m_client;
    platform_access m_access;
};

/// Cloud API over HTTP and JSON. Must be used from the thread of its executor.
class http_cloud_api final : public cloud_api {
public:
    /// `client` must outlive this object.
    http_cloud_api(http::client& client, platform_access access);

    /// Reads the offers. An error or a malformed answer is `cloud_unavailable`.
    boost::asio::awaitable<offers_result> offers() override;
    /// Reads the instances. An error or a malformed answer is `cloud_unavailable`.
    boost::asio::awaitable<instances_result> instances() override;
    /// Starts one instance. An unexpected or malformed answer is `cloud_uncertain`.
    boost::asio::awaitable<start_result> start(start_request request) override;
    /// Stops an instance. An unexpected answer is `cloud_uncertain`.
    boost::asio::awaitable<stop_result> stop(instance_id id) override;
    /// Reads the notices with a sequence number above `after`. An error or a malformed answer is
    /// `cloud_unavailable`.
    boost::asio::awaitable<notices_result> notices(std::uint64_t after) override;

private:
    /// Returns the body of an answer with status 200, or `std::nullopt`.
    boost::asio::awaitable<std::optional<std::string>> get(std::string path, std::string query);

    http::client& m_client;
    platform_access m_access;
};

} // namespace siskinwharf::cloud
