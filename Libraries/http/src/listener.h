#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include "siskinwharf/http/server.h"

namespace siskinwharf::http {

/// Listens on the address. Throws `listen_error`.
[[nodiscard]] boost::asio::ip::tcp::acceptor open_acceptor(boost::asio::io_context& context,
                                                           const address& listen);
/// Returns null without files. Throws `listen_error` if they cannot be used.
[[nodiscard]] std::unique_ptr<boost::asio::ssl::context> make_tls_context(const tls_files* files);

} // namespace siskinwharf::http
