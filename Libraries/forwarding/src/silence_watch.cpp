#include "silence_watch.h"

#include <boost/asio/steady_timer.hpp>

namespace siskinwharf::forwarding {

struct silence_watch::shared_state {
    boost::asio::steady_timer timer;
    milliseconds interval;
    std::function<bool()> check;
};

silence_watch::silence_watch(const boost::asio::any_io_executor& executor, milliseconds interval,
                             std::function<bool()> check)
    : m_state(std::make_shared<shared_state>(
          shared_state{boost::asio::steady_timer(executor), interval, std::move(check)}))
{
    arm(m_state);
}

silence_watch::~silence_watch()
{
    m_state->timer.cancel();
}

void silence_watch::arm(const std::shared_ptr<shared_state>& state)
{
    state->timer.expires_after(state->interval);
    state->timer.async_wait([weak = std::weak_ptr<shared_state>(state)](boost::system::error_code error) {
        // A handler that was already queued when the watch was destroyed finds no state.
        const auto held = weak.lock();
        if (error || !held)
            return;
        if (!held->check())
            arm(held);
    });
}

} // namespace siskinwharf::forwarding
