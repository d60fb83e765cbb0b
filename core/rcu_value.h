/// Value under read-copy-update (RCU): readers never block, and writers replace the whole value.
#pragma once

#include <memory>
#include <mutex>

#include <urcu-bp.h>

namespace coriandermount {

/// Holds an immutable value that controllers replace and request threads read. `read` and `publish` are thread-safe.
template <class T> class rcu_value {
public:
    rcu_value()
        : m_current(new node { std::make_shared<const T>() })
    {
    }

    ~rcu_value() { delete m_current; }

    rcu_value(const rcu_value&) = delete;
    rcu_value& operator=(const rcu_value&) = delete;

    /// Returns the current value without blocking. The value stays valid as long as the returned pointer is held.
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        const node* current = rcu_dereference(m_current);
        std::shared_ptr<const T> value = current->value;
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value, and blocks until no reader uses the node of the previous one.
    void publish(std::shared_ptr<const T> value)
    {
        const std::scoped_lock lock(m_writers);
        node* previous = m_current;
        rcu_assign_pointer(m_current, new node { std::move(value) });
        urcu_bp_synchronize_rcu();
        delete previous;
    }

private:
    struct node {
        std::shared_ptr<const T> value;
    };

    node* m_current;
    std::mutex m_writers;
};

} // namespace coriandermount
