/// HTTP routes for operators: explanations and counts of faults.
#pragma once

#include "explain/aggregator.h"
#include "front/api.h"

namespace coriandermount::front {

/// Adds `GET /v1/explain/CUSTOMER/JOB/ISSUED_AT_MS` and `GET /v1/faults?since_ms=`. Everything given outlives the api.
void addOperatorRoutes(api& target, const clock_source& clock, explain::aggregator& aggregator);

} // namespace coriandermount::front
