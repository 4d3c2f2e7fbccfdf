#include "notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace siskinwharf::standins {

namespace asio = boost::asio;

notifier::notifier(const asio::any_io_executor& executor)
    : m_timer(executor, asio::steady_timer::time_point::max())
{
}

void notifier::notify_all()
{
    m_timer.cancel();
}

asio::awaitable<void> notifier::wait()
{
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> sleep_for(std::chrono::nanoseconds duration)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace siskinwharf::standins
