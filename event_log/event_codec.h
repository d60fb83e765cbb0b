/// Compact JSON form of events, for the log and for peers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// Builds a list of events of one VM; texts that occur more than once are written once.
class event_list_encoder {
public:
    event_list_encoder();
    ~event_list_encoder();

    event_list_encoder(const event_list_encoder&) = delete;
    event_list_encoder& operator=(const event_list_encoder&) = delete;

    /// Adds an event unless the list would grow beyond `maxBytes`; returns whether it was added.
    bool add(const event& entry, std::size_t maxBytes);

    /// Length of `text()`.
    std::size_t size() const;

    /// Returns the list as a JSON object.
    std::string text() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Encodes all of `events`.
std::string encodeEvents(const std::vector<event>& events);

/// Reads a list and sets each event's VM to `vm`. Fails with `malformed_request`. Events of kinds that this version does not
/// know are left out.
result<std::vector<event>> decodeEvents(const std::string& text, const vm_id& vm);

std::optional<event_kind> eventKindNamed(std::string_view name);

} // namespace coriandermount::event_log
