#include "live_request.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace siskinwharf::entry {

namespace asio = boost::asio;

live_request::live_request(const asio::any_io_executor& executor, request_spec spec)
    : m_spec(std::move(spec)),
      m_identity{m_spec.id.value(), m_spec.model.value(),
                 std::chrono::duration_cast<std::chrono::seconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()},
      m_changed(executor, asio::steady_timer::time_point::max())
{
    abandoned_at = m_spec.received;
}

void live_request::accept()
{
    if (m_phase != phase::waiting)
        return;
    m_phase = phase::accepted;
    notify();
}

void live_request::finish()
{
    if (ended())
        return;
    m_phase = phase::finished;
    notify();
}

void live_request::fail(http::refusal reason)
{
    if (ended())
        return;
    m_phase = phase::failed;
    m_failure = std::move(reason);
    notify();
}

void live_request::note_tokens(std::size_t count, monotonic_time time)
{
    if (m_first_tokens_at == monotonic_time{}) {
        m_first_tokens_at = time;
        return;
    }
    m_tokens_since_first += count;
    m_last_tokens_at = time;
}

double live_request::tokens_per_second() const
{
    const std::chrono::duration<double> elapsed = m_last_tokens_at - m_first_tokens_at;
    return m_tokens_since_first == 0 || elapsed.count() <= 0
               ? 0
               : static_cast<double>(m_tokens_since_first) / elapsed.count();
}

void live_request::restore(std::vector<std::string> tokens, std::uint32_t attempt, endpoint_id endpoint)
{
    m_assembler.restore(std::move(tokens), attempt);
    m_restored_endpoint = std::move(endpoint);
    m_phase = phase::accepted;
}

void live_request::hand_over()
{
    if (ended())
        return;
    m_phase = phase::handed_over;
    if (m_stream != nullptr)
        m_stream->cancel();
    notify();
}

void live_request::notify()
{
    m_changed.cancel();
}

asio::awaitable<void> live_request::wait_for_change()
{
    co_await m_changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

void live_request::attach(std::shared_ptr<const routing::endpoint_info> endpoint, http::line_stream* stream)
{
    m_endpoint = std::move(endpoint);
    m_stream = stream;
}

void live_request::detach()
{
    m_first_tokens_at = {};
    m_tokens_since_first = 0;
    m_endpoint.reset();
    m_stream = nullptr;
}

void live_request::request_move(move_request move)
{
    m_move = std::move(move);
    if (m_stream != nullptr)
        m_stream->cancel();
}

std::optional<move_request> live_request::take_move()
{
    return std::exchange(m_move, std::nullopt);
}

} // namespace siskinwharf::entry
