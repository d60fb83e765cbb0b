#include "main/fleet_options.h"

#include <algorithm>
#include <random>
#include <sstream>

#include <xxhash.h>

namespace coriandermount {

namespace {

    /// Splits `text` at commas; spaces and empty items are removed.
    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> items;
        std::istringstream stream(text);
        std::string item;
        while (std::getline(stream, item, ',')) {
            std::erase(item, ' ');
            if (!item.empty())
                items.push_back(item);
        }
        return items;
    }

    std::uint64_t hashOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace

fleet::fleet_controller_options fleetOptions(const settings::values& settings, const clock_source& clock)
{
    fleet::fleet_controller_options options;
    options.listInterval = settings.vmListInterval;
    options.shrinkGracePeriod = settings.workerHold;
    fleet::membership_options& own = options.membership;
    own.id.value = settings.vmId;
    own.domain.value = settings.failureDomain;
    own.rack = settings.rack;
    own.peerAddress = settings.peerAdvertisedAddress.empty() ? settings.peerAddress : settings.peerAdvertisedAddress;
    own.startedAt = clock.wallNow();
    own.seeds = splitList(settings.peerSeeds);
    for (const auto& domain : splitList(settings.fleetDomains))
        own.domains.push_back({ domain });
    own.randomSeed = std::random_device {}();
    own.listLag = settings.vmListLag;
    own.deadAfter = settings.deadAfter;
    own.deadAfterUnlisted = settings.deadAfterUnlisted;
    return options;
}

configuration::follower_options followerOptions(const settings::values& settings)
{
    configuration::follower_options options;
    options.pollInterval = settings.configurationPollInterval;
    options.copyAfter = settings.configurationCopyAfter;
    return options;
}

unsigned copyRank(const fleet_view& view)
{
    unsigned domainRank = 0;
    for (const auto& [domain, summary] : view.otherDomains)
        domainRank += hashOf(domain.value) < hashOf(view.self.domain.value) ? 1 : 0;
    unsigned memberRank = 0;
    for (const auto& vm : view.members) {
        if (vm.state == member_state::alive && hashOf(vm.id.value) < hashOf(view.self.id.value))
            ++memberRank;
    }
    return domainRank + memberRank * (static_cast<unsigned>(view.otherDomains.size()) + 1);
}

} // namespace coriandermount
