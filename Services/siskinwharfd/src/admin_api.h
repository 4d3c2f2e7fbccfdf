#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry_core.h"
#include "siskinwharf/http/server.h"

namespace siskinwharf::entry {

/// The HTTP interface towards operators: `/status`, `/metrics`, `/accounts` and `/endpoints`.
class admin_api {
public:
    /// `count_active` returns the requests in progress.
    admin_api(entry_core& core, std::function<boost::asio::awaitable<std::size_t>()> count_active);

    boost::asio::awaitable<void> handle(http::request message, http::response_writer& writer);

private:
    boost::asio::awaitable<std::string> render_status();
    /// One row for each endpoint that the routing table knows.
    [[nodiscard]] std::string render_endpoints() const;

    entry_core& m_core;
    std::function<boost::asio::awaitable<std::size_t>()> m_count_active;
};

} // namespace siskinwharf::entry
