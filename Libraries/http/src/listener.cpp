#include "listener.h"

#include "siskinwharf/http/error.h"

namespace siskinwharf::http {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

tcp::acceptor open_acceptor(asio::io_context& context, const address& listen)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(listen.ip), listen.port);
        tcp::acceptor acceptor(context);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.set_option(reuse_port(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
        return acceptor;
    } catch (const boost::system::system_error& error) {
        throw listen_error("cannot listen on " + listen.ip + ":" + std::to_string(listen.port) + ": " +
                           error.what());
    }
}

std::unique_ptr<asio::ssl::context> make_tls_context(const tls_files* files)
{
    if (files == nullptr)
        return nullptr;
    try {
        auto context = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
        context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 |
                             asio::ssl::context::no_tlsv1_1);
        context->use_certificate_chain_file(files->certificate);
        context->use_private_key_file(files->private_key, asio::ssl::context::pem);
        return context;
    } catch (const boost::system::system_error& error) {
        throw listen_error(std::string("cannot use the TLS certificate: ") + error.what());
    }
}

} // namespace siskinwharf::http
