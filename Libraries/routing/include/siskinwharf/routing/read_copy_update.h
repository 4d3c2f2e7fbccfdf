#pragma once

#include <atomic>
#include <memory>

namespace siskinwharf::routing {

/// Read-side critical section of read-copy-update (RCU) for the lifetime of the object. Takes no lock and
/// never waits. The first section of a thread registers the thread with liburcu; thread exit unregisters it.
class rcu_read_section {
public:
    rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
    rcu_read_section(rcu_read_section&&) = delete;
    rcu_read_section& operator=(rcu_read_section&&) = delete;
    ~rcu_read_section();
};

/// Waits for a grace period: until all read sections that began before the call have ended. Must not be
/// called in a read section, which would deadlock.
void wait_for_readers();

/// A pointer to an immutable value that one writer at a time replaces while any thread reads it.
template<typename Value>
class rcu_value {
public:
    explicit rcu_value(std::unique_ptr<const Value> value) : m_value(value.release()) {}
    rcu_value(const rcu_value&) = delete;
    rcu_value& operator=(const rcu_value&) = delete;
    rcu_value(rcu_value&&) = delete;
    rcu_value& operator=(rcu_value&&) = delete;
    /// No thread may still be reading the value.
    ~rcu_value() { delete m_value.load(); }

    /// The current value. Valid until the read section ends.
    [[nodiscard]] const Value& read(const rcu_read_section&) const
    {
        return *m_value.load(std::memory_order_acquire);
    }

    /// Publishes a value. When the call returns, no reader uses the previous one, which is deleted. The
    /// caller serialises writers.
    void replace(std::unique_ptr<const Value> value)
    {
        const std::unique_ptr<const Value> old(m_value.exchange(value.release(), std::memory_order_acq_rel));
        wait_for_readers();
    }

private:
    std::atomic<const Value*> m_value;
};

} // namespace siskinwharf::routing
