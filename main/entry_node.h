/// One entry VM on the users' platform, assembled from its settings.
#pragma once

#include <memory>

#include "core/error.h"
#include "platform/boot_settings.h"

namespace coriandermount {

class entry_node {
public:
    explicit entry_node(const platform::boot_settings& settings);
    ~entry_node();

    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Starts listeners and controllers; fails with `settings_invalid` when an address can't be bound.
    result<void> start();

    /// Reports itself as not ready, hands over what it owns, answers what it has read, and stops.
    void shutDown();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount
