#include "siskinwharf/routing/read_copy_update.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace siskinwharf::routing {

namespace {

/// Registers the thread with liburcu for the lifetime of the thread.
struct thread_registration {
    thread_registration() { urcu_memb_register_thread(); }
    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;
    thread_registration(thread_registration&&) = delete;
    thread_registration& operator=(thread_registration&&) = delete;
    ~thread_registration() { urcu_memb_unregister_thread(); }
};

// ThreadSanitizer does not see the memory barriers in liburcu. These annotations tell it that a read section
// happens before the end of the grace period that waits for it.
#if defined(__SANITIZE_THREAD__)
char grace_period_order; // NOLINT: address only
void note_read_section_end()
{
    __tsan_release(&grace_period_order);
}
void note_grace_period()
{
    __tsan_acquire(&grace_period_order);
}
#else
void note_read_section_end() {}
void note_grace_period() {}
#endif

} // namespace

rcu_read_section::rcu_read_section()
{
    static thread_local const thread_registration registration;
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    note_read_section_end();
    urcu_memb_read_unlock();
}

void wait_for_readers()
{
    urcu_memb_synchronize_rcu();
    note_grace_period();
}

} // namespace siskinwharf::routing
