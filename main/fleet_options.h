/// Conversion of the settings to the options of the fleet and configuration controllers, and the copy rank that the
/// configuration controller derives from the fleet.
#pragma once

#include "configuration/follower.h"
#include "core/clock.h"
#include "fleet/fleet_controller.h"
#include "settings/settings.h"

namespace coriandermount {

/// Builds the options of the fleet controller, with a new random seed for each call.
fleet::fleet_controller_options fleetOptions(const settings::values& settings, const clock_source& clock);

/// Builds the options of the configuration follower.
configuration::follower_options followerOptions(const settings::values& settings);

/// Returns the rank of this VM among all VMs that may append a copy of the configuration. The first VMs of all failure domains
/// rank before the second ones, so that a partitioned domain or a dead VM delays the copy by one rank only.
unsigned copyRank(const fleet_view& view);

} // namespace coriandermount
