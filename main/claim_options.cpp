#include "main/claim_options.h"

namespace coriandermount {

namespace {

    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;

} // namespace

claims::claim_core_options claimOptions(const settings::values& settings, const clock_source& clock)
{
    claims::claim_core_options options;
    options.self.id.value = settings.vmId;
    options.self.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    options.rack = settings.rack;
    options.domain.value = settings.failureDomain;
    options.resubmissionWindow = settings.resubmissionWindow;
    options.maxClockSkew = settings.maxClockSkew;
    options.maxVmClockError = settings.maxVmClockError;
    options.claimTimeout = settings.claimTimeout;
    options.viewLease = settings.claimViewLease;
    options.maxAnswerBytes = static_cast<std::size_t>(settings.claimAnswerMegabytes) * bytesPerMegabyte;
    return options;
}

} // namespace coriandermount
