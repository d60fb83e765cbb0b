/// Options of the claim protocol, from the settings.
#pragma once

#include "claims/options.h"
#include "core/clock.h"
#include "settings/settings.h"

namespace coriandermount {

claims::claim_core_options claimOptions(const settings::values& settings, const clock_source& clock);

} // namespace coriandermount
