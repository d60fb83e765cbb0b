/// Process of one entry VM on the users' platform.
#pragma once

#include <memory>

#include "core/error.h"
#include "platform/boot_settings.h"

namespace coriandermount {

/// Creates and connects all parts of one entry VM.
class entry_node {
public:
    explicit entry_node(const platform::boot_settings& settings);
    ~entry_node();

    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Starts the listeners and the controllers. Fails with `settings_invalid` when an address can't be bound.
    result<void> start();

    /// Reports this VM as not ready, hands its cell over, answers the requests that were read, and stops. Blocks for at most
    /// about `boot_settings::shutdownGrace`.
    void shutDown();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount
