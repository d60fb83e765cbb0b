/// HTTP route that issues job ids.
#pragma once

#include "core/clock.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `POST /v1/job-ids`, which replies with unused job names and an issue time. `claims` and `clock` must outlive
/// `target`.
void addJobIdRoute(api& target, claims::claim_service& claims, const clock_source& clock);

} // namespace coriandermount::front
