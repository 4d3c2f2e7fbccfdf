#include "test_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace siskinwharf::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct test_client::state {
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::size_t consumed = 0;
};

test_client::test_client(std::uint16_t port) : m_state(std::make_unique<state>()), m_port(port) {}

test_client::~test_client() = default;

unsigned test_client::open(const std::string& method, const std::string& target, const std::string& body)
{
    if (!m_state->socket.is_open())
        m_state->socket.connect({asio::ip::address_v4::loopback(), m_port});
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : m_headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    boost::system::error_code error;
    http::write(m_state->socket, request, error);
    m_state->consumed = 0;
    m_state->parser.emplace();
    m_state->parser->body_limit(boost::none);
    if (!error)
        http::read_header(m_state->socket, m_state->buffer, *m_state->parser, error);
    if (error) {
        m_state->socket.close();
        m_state->buffer.clear();
        return 0;
    }
    return m_state->parser->get().result_int();
}

test_answer test_client::request(const std::string& method, const std::string& target,
                                 const std::string& body)
{
    test_answer answer;
    answer.status = open(method, target, body);
    if (answer.status == 0)
        return answer;
    boost::system::error_code error;
    http::read(m_state->socket, m_state->buffer, *m_state->parser, error);
    answer.body = m_state->parser->get().body();
    answer.entity_tag = m_state->parser->get()[http::field::etag];
    return answer;
}

std::optional<std::string> test_client::next_line()
{
    for (;;) {
        const std::string& body = m_state->parser->get().body();
        if (const std::size_t end = body.find('\n', m_state->consumed); end != std::string::npos) {
            std::string line = body.substr(m_state->consumed, end - m_state->consumed);
            m_state->consumed = end + 1;
            return line;
        }
        if (m_state->parser->is_done())
            return std::nullopt;
        boost::system::error_code error;
        http::read_some(m_state->socket, m_state->buffer, *m_state->parser, error);
        if (error)
            return std::nullopt;
    }
}

bool test_client::complete() const
{
    return m_state->parser && m_state->parser->is_done();
}

} // namespace siskinwharf::standins
