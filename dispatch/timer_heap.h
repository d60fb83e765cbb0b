/// Priority queue of timers.
#pragma once

#include <queue>
#include <utility>
#include <vector>

#include "core/types.h"

namespace coriandermount::dispatch {

/// Holds items ordered by due time. Timers cannot be cancelled: when an item is due, the owner checks whether it is still needed.
template <class Item> class timer_heap {
public:
    /// Adds an item that is due at `due`.
    void add(time_point due, Item item) { m_entries.push({ due, std::move(item) }); }

    /// Returns true if the earliest item is due.
    bool isDue(time_point now) const { return !m_entries.empty() && m_entries.top().due <= now; }

    /// Removes and returns the earliest item. The heap must not be empty.
    Item take()
    {
        Item item = m_entries.top().item;
        m_entries.pop();
        return item;
    }

    std::size_t size() const { return m_entries.size(); }

    /// Drops the items that `isNeeded` rejects.
    template <class Predicate> void compact(const Predicate& isNeeded)
    {
        heap kept;
        for (; !m_entries.empty(); m_entries.pop()) {
            if (isNeeded(m_entries.top().item))
                kept.push(m_entries.top());
        }
        m_entries = std::move(kept);
    }

private:
    struct entry {
        time_point due;
        Item item;

        friend bool operator>(const entry& a, const entry& b) { return a.due != b.due ? a.due > b.due : a.item > b.item; }
    };
    using heap = std::priority_queue<entry, std::vector<entry>, std::greater<>>;

    heap m_entries;
};

} // namespace coriandermount::dispatch
