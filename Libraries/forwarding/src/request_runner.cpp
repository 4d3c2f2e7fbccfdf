#include "siskinwharf/forwarding/request_runner.h"

#include "forwarded_request.h"
#include "siskinwharf/forwarding/relay_header.h"

namespace siskinwharf::forwarding {

namespace {

/// Requests of peers that one process has in progress at most.
constexpr std::size_t maximum_relayed = 400;

/// Counts a request while it exists.
class counted {
public:
    explicit counted(std::size_t& count) : m_count(count) { ++m_count; }
    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;
    counted(counted&&) = delete;
    counted& operator=(counted&&) = delete;
    ~counted() { --m_count; }

private:
    std::size_t& m_count;
};

} // namespace

boost::asio::awaitable<void> request_runner::handle(http::request message, http::response_writer& writer)
{
    const request_route_options options{m_helpers, false};
    forwarded_request request(m_executor, m_state, m_codec, m_client, m_metrics, m_origins, options,
                              m_codec.decode(std::move(message)), writer);
    co_await request.run();
}

boost::asio::awaitable<void> request_runner::handle_relayed(http::request message,
                                                            http::response_writer& writer)
{
    if (m_relayed >= maximum_relayed) {
        auto response = relay_refusal("too many requests of peers");
        co_await writer.send(std::move(response));
        co_return;
    }
    const counted in_progress(m_relayed);
    const request_route_options options{nullptr, true};
    forwarded_request request(m_executor, m_state, m_codec, m_client, m_metrics, m_origins, options,
                              m_codec.decode(std::move(message)), writer);
    co_await request.run();
}

} // namespace siskinwharf::forwarding
