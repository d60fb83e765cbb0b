/// HTTP routes for operators: explanations of jobs and fault counts.
#pragma once

#include "explain/aggregator.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `GET /v1/explain/CUSTOMER/JOB/ISSUED_AT_MS` and `GET /v1/faults?since_ms=`. `clock` and `aggregator` must outlive
/// `target`.
void addOperatorRoutes(api& target, const clock_source& clock, explain::aggregator& aggregator);

} // namespace coriandermount::front
