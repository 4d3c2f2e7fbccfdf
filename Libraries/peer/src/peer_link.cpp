#include "peer_link.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "siskinwharf/base/hash.h"

namespace siskinwharf::peer {

namespace asio = boost::asio;

namespace {

monotonic_time current_time()
{
    return std::chrono::steady_clock::now();
}

transport_error error_of(io_status status)
{
    if (status == io_status::timed_out)
        return request_timed_out{};
    return connection_lost{};
}

} // namespace

peer_link::peer_link(asio::any_io_executor strand, std::shared_ptr<transport_state> state, instance_id peer,
                     address contact)
    : m_strand(std::move(strand)),
      m_state(std::move(state)),
      m_peer(std::move(peer)),
      m_contact(std::move(contact)),
      m_random(static_cast<std::minstd_rand::result_type>(
          combine64(m_state->options().seed, hash64(m_peer.value()))))
{
}

asio::awaitable<request_result> peer_link::exchange(message body, monotonic_time deadline,
                                                    delivery_count sending)
{
    // A cancelled caller would otherwise end this function between taking and releasing a slot.
    co_await asio::this_coro::reset_cancellation_state(asio::disable_cancellation());
    if (m_state->stopped())
        co_return transport_error(transport_stopped{});
    if (m_slots_in_use + m_waiting.size() >= m_state->options().requests_per_peer)
        co_return transport_error(too_many_requests{});
    const bool granted = co_await wait_for_slot(deadline);
    if (!granted) {
        if (m_state->stopped())
            co_return transport_error(transport_stopped{});
        co_return transport_error(request_timed_out{});
    }
    request_result result = co_await exchange_in_slot(body, deadline, sending);
    release_slot();
    co_return result;
}

// A slot that becomes free passes to the first waiting request without being counted down, so that a new
// request cannot overtake it.
asio::awaitable<bool> peer_link::wait_for_slot(monotonic_time deadline)
{
    if (m_slots_in_use < m_state->options().connections_per_peer) {
        ++m_slots_in_use;
        co_return true;
    }
    asio::steady_timer timer(m_strand, deadline);
    const auto position = m_waiting.insert(m_waiting.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // Whoever hands over the slot, or stops the link, replaces the entry by a null pointer.
    const bool granted = *position == nullptr && !m_state->stopped();
    if (*position == nullptr && !granted)
        release_slot();
    m_waiting.erase(position);
    co_return granted;
}

void peer_link::release_slot()
{
    const auto first = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [](const asio::steady_timer* timer) { return timer != nullptr; });
    if (first == m_waiting.end()) {
        --m_slots_in_use;
        return;
    }
    std::exchange(*first, nullptr)->cancel();
}

asio::awaitable<request_result> peer_link::exchange_in_slot(const message& body, monotonic_time deadline,
                                                            delivery_count sending)
{
    if (!m_idle.empty()) {
        // The most recently used connection is the least likely to have been closed by the peer.
        auto link = std::move(m_idle.back().link);
        m_idle.pop_back();
        request_result result = co_await exchange_on(link, body, deadline);
        const auto* error = std::get_if<transport_error>(&result);
        const bool closed_while_idle = error != nullptr && std::holds_alternative<connection_lost>(*error);
        if (!closed_while_idle || m_state->stopped())
            co_return result;
        m_idle.clear();
        if (sending == delivery_count::at_most_once)
            co_return result;
    }
    // Failing at once during the back-off lets the caller try the next peer.
    if (current_time() < m_retry_at)
        co_return transport_error(peer_unreachable{});
    auto link = co_await connect(deadline);
    // A stop closes the connection that is being opened, which says nothing of the peer.
    if (m_state->stopped())
        co_return transport_error(transport_stopped{});
    if (!link)
        co_return transport_error(peer_unreachable{});
    request_result result = co_await exchange_on(std::move(link), body, deadline);
    co_return result;
}

asio::awaitable<std::shared_ptr<connection>> peer_link::connect(monotonic_time deadline)
{
    boost::system::error_code invalid;
    const auto host = asio::ip::make_address(m_contact.host, invalid);
    if (invalid)
        co_return nullptr;
    const asio::ip::tcp::endpoint remote(host, m_contact.port);
    auto link = std::make_shared<connection>(m_strand, m_state);
    const auto position = m_active.insert(m_active.end(), link);
    const auto status = co_await link->connect(
        remote, std::min(deadline, current_time() + m_state->options().connect_timeout));
    m_active.erase(position);
    if (status != io_status::success) {
        back_off(current_time());
        co_return nullptr;
    }
    m_failures = 0;
    co_return link;
}

asio::awaitable<request_result> peer_link::exchange_on(std::shared_ptr<connection> link, const message& body,
                                                       monotonic_time deadline)
{
    const std::uint64_t sequence = m_state->next_sequence();
    const encode_result bytes = m_state->seal(m_peer, body, sequence, 0, stream_frame_limit);
    if (const auto* too_long = std::get_if<frame_too_long>(&bytes)) {
        m_idle.push_back({std::move(link), current_time()});
        co_return transport_error(*too_long);
    }
    const auto position = m_active.insert(m_active.end(), link);
    const auto written = co_await link->write(std::get<std::string>(bytes), deadline);
    connection::received received;
    received.status = written;
    if (written == io_status::success)
        received = co_await link->read(deadline);
    m_active.erase(position);
    if (received.status != io_status::success) {
        link->close();
        co_return error_of(received.status);
    }
    auto* answer = std::get_if<frame>(&received.content);
    // A peer of which only the address is known may have any id.
    const bool is_from_peer = answer != nullptr && (m_peer.empty() || answer->sender == m_peer);
    if (!is_from_peer || answer->in_reply_to != sequence) {
        link->close();
        co_return transport_error(connection_lost{});
    }
    if (!m_state->stopped())
        m_idle.push_back({std::move(link), current_time()});
    co_return std::move(answer->body);
}

// Full jitter over the upper half: peers that lost the same process do not reconnect in step.
void peer_link::back_off(monotonic_time time)
{
    const auto& options = m_state->options();
    constexpr std::uint32_t most_doublings = 16;
    const auto ceiling =
        std::min(options.last_backoff, options.first_backoff * (1U << std::min(m_failures, most_doublings)));
    ++m_failures;
    std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2, ceiling.count());
    m_retry_at = time + milliseconds(jitter(m_random));
}

void peer_link::close_idle(monotonic_time time)
{
    // Half the timeout, so that usually this side closes the connection and no request meets a closed one.
    const auto limit = m_state->options().idle_timeout / 2;
    std::erase_if(m_idle, [&](const idle_connection& idle) { return time - idle.since > limit; });
}

void peer_link::stop()
{
    m_idle.clear();
    for (const auto& link : m_active)
        link->close();
    for (auto*& timer : m_waiting) {
        if (timer != nullptr) {
            ++m_slots_in_use;
            std::exchange(timer, nullptr)->cancel();
        }
    }
}

} // namespace siskinwharf::peer
