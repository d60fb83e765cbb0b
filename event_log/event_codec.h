/// Compact JSON encoding of events, for the platform's log and for peers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// Encodes a list of events of one VM. Texts are written once to a table, and events refer to them by number.
class event_list_encoder {
public:
    event_list_encoder();
    ~event_list_encoder();

    event_list_encoder(const event_list_encoder&) = delete;
    event_list_encoder& operator=(const event_list_encoder&) = delete;

    /// Adds an event unless the encoded list would be longer than `maxBytes`. Returns whether the event was added.
    bool add(const event& entry, std::size_t maxBytes);

    /// Returns the length of `text()` in bytes.
    std::size_t size() const;

    /// Returns the encoded list, a JSON object.
    std::string text() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Encodes all of `events`, which have to be of one VM, without a limit on the length.
std::string encodeEvents(const std::vector<event>& events);

/// Decodes a list and sets the VM of each event to `vm`. Skips events of kinds that this version does not know. Fails with
/// `malformed_request`.
result<std::vector<event>> decodeEvents(const std::string& text, const vm_id& vm);

/// Returns the kind with that name, or nothing for an unknown name.
std::optional<event_kind> findEventKind(std::string_view name);

} // namespace coriandermount::event_log
