#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/json.hpp>

namespace siskinwharf::standins {

/// An answer as the tests see it. Status 0 means that the connection was closed without one.
struct test_answer {
    unsigned status = 0;
    std::string body;
    std::string entity_tag;

    [[nodiscard]] boost::json::object json() const { return boost::json::parse(body).as_object(); }
};

/// Blocking HTTP client with one connection.
class test_client {
public:
    explicit test_client(std::uint16_t port);
    test_client(const test_client&) = delete;
    test_client& operator=(const test_client&) = delete;
    test_client(test_client&&) = delete;
    test_client& operator=(test_client&&) = delete;
    ~test_client();

    void set_header(const std::string& name, const std::string& value) { m_headers[name] = value; }
    /// Sends a request and reads the whole answer.
    test_answer request(const std::string& method, const std::string& target, const std::string& body = {});
    /// Sends a request and reads only the header of the answer. Returns the status.
    unsigned open(const std::string& method, const std::string& target, const std::string& body = {});
    /// The next line of the body; nothing if the body or the connection has ended.
    std::optional<std::string> next_line();
    /// True if the body ended with its last chunk and not with the connection.
    [[nodiscard]] bool complete() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
    std::uint16_t m_port;
    std::map<std::string, std::string> m_headers;
};

} // namespace siskinwharf::standins
