/// HTTP routes for operators that show, check and publish the configuration.
#pragma once

#include "configuration/configuration_controller.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `GET` and `POST /v1/configuration`, `GET /v1/configuration/history`, `GET /v1/configuration/records/ID` and
/// `POST /v1/configuration/check`. `source` must outlive `target`.
void addConfigurationRoutes(api& target, configuration::configuration_controller& source);

} // namespace coriandermount::front
