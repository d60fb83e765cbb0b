/// HTTP routes for operators that show the fleet and drain VMs.
#pragma once

#include "blackboard/blackboard.h"
#include "fleet/fleet_controller.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `GET /v1/fleet` and `POST /v1/vms/ID/drain`. `board` and `fleet` must outlive `target`.
void addFleetRoutes(api& target, const blackboard& board, fleet::fleet_controller& fleet);

} // namespace coriandermount::front
