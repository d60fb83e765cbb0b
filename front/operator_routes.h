/// HTTP routes for operators: explanations of jobs and fault counts.
#pragma once

#include "explain/investigator.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `GET /v1/explain/CUSTOMER/JOB/ISSUED_AT_MS` and `GET /v1/faults?since_ms=`. `clock` and `investigator` must outlive
/// `target`.
void addOperatorRoutes(api& target, const clock_source& clock, explain::investigator& investigator);

} // namespace coriandermount::front
