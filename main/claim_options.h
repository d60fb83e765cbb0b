/// Conversion of the settings to the options of the claim protocol.
#pragma once

#include "claims/options.h"
#include "core/clock.h"
#include "settings/settings.h"

namespace coriandermount {

/// Builds the options of the claim protocol. The wall-clock time of `clock` becomes the incarnation of this VM.
claims::claim_core_options claimOptions(const settings::values& settings, const clock_source& clock);

} // namespace coriandermount
