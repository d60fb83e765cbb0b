/// Conversion of the settings to the options of the dispatch engine.
#pragma once

#include "dispatch/engine.h"
#include "settings/settings.h"

namespace coriandermount {

/// Builds the options of the engine, with a new random seed for each call.
dispatch::engine_options engineOptions(const settings::values& settings);

} // namespace coriandermount
