#include "fleet/gossip_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::fleet {

using nlohmann::json;

namespace {

    json encodeMember(const member_record& member)
    {
        return json::array({ member.id.value, member.rack, member.peerAddress, member.incarnation, member.sequence,
            static_cast<int>(member.health), member.leaving ? 1 : 0 });
    }

    member_record decodeMember(const json& value)
    {
        member_record member;
        member.id.value = value.at(0).get<std::string>();
        member.rack = value.at(1).get<std::string>();
        member.peerAddress = value.at(2).get<std::string>();
        member.incarnation = value.at(3).get<std::uint64_t>();
        member.sequence = value.at(4).get<std::uint64_t>();
        const int health = value.at(5).get<int>();
        if (health < 0 || health > static_cast<int>(liveness::dead))
            throw json::out_of_range::create(
                401, fmt::format("liveness {} is not between 0 and {}", health, static_cast<int>(liveness::dead)), &value);
        member.health = static_cast<liveness>(health);
        member.leaving = value.at(6).get<int>() != 0;
        return member;
    }

    json encodeDomain(const domain_record& record)
    {
        json value = json::array(
            { record.domain.value, record.stamp, record.contactStamp, record.liveVms, record.liveWorkers, record.freeSlots });
        if (!record.hasContacts)
            return value;
        json contacts = json::array();
        for (const auto& contact : record.contacts) {
            contacts.push_back(contact.id.value);
            contacts.push_back(contact.peerAddress);
        }
        value.push_back(std::move(contacts));
        return value;
    }

    domain_record decodeDomain(const json& value)
    {
        constexpr std::size_t contactsIndex = 6;
        domain_record record;
        record.domain.value = value.at(0).get<std::string>();
        record.stamp = value.at(1).get<std::uint64_t>();
        record.contactStamp = value.at(2).get<std::uint64_t>();
        record.liveVms = value.at(3).get<std::uint32_t>();
        record.liveWorkers = value.at(4).get<std::uint32_t>();
        record.freeSlots = value.at(5).get<std::uint32_t>();
        record.hasContacts = value.size() > contactsIndex;
        if (!record.hasContacts)
            return record;
        const json& contacts = value.at(contactsIndex);
        for (std::size_t index = 0; index + 1 < contacts.size(); index += 2)
            record.contacts.push_back({ { contacts.at(index).get<std::string>() }, contacts.at(index + 1).get<std::string>() });
        return record;
    }

    /// Sets `extras[key]` to `field` unless `field` is empty.
    void addUnlessEmpty(json& extras, const char* key, json field)
    {
        if (!field.empty())
            extras[key] = std::move(field);
    }

} // namespace

std::string encodeGossip(const gossip_message& message)
{
    json members = json::array();
    for (const auto& member : message.members)
        members.push_back(encodeMember(member));
    json workers = json::array();
    for (const auto& worker : message.leavingWorkers)
        workers.push_back(json::array({ worker.id.value, worker.stamp }));
    json known = json::array();
    for (const auto& entry : message.knownDomains)
        known.push_back(json::array({ entry.domain.value, entry.stamp }));
    json domains = json::array();
    for (const auto& record : message.domains)
        domains.push_back(encodeDomain(record));

    json value = json::array({ message.from.value, message.domain.value, message.incarnation, message.sequence,
        message.membersDigest, message.usedSlots, message.configuration.version, message.configuration.digest });
    json extras = json::object();
    addUnlessEmpty(extras, "m", std::move(members));
    addUnlessEmpty(extras, "w", std::move(workers));
    addUnlessEmpty(extras, "k", std::move(known));
    addUnlessEmpty(extras, "d", std::move(domains));
    if (message.fullTable)
        extras["a"] = 1;
    if (!message.relayTo.empty())
        extras["r"] = message.relayTo;
    if (!extras.empty())
        value.push_back(std::move(extras));
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<gossip_message> decodeGossip(const std::string& text)
{
    constexpr std::size_t extrasIndex = 8;
    try {
        const json value = json::parse(text);
        gossip_message message;
        message.from.value = value.at(0).get<std::string>();
        message.domain.value = value.at(1).get<std::string>();
        message.incarnation = value.at(2).get<std::uint64_t>();
        message.sequence = value.at(3).get<std::uint64_t>();
        message.membersDigest = value.at(4).get<std::uint32_t>();
        message.usedSlots = value.at(5).get<std::uint32_t>();
        message.configuration.version = value.at(6).get<std::uint64_t>();
        message.configuration.digest = value.at(7).get<std::uint32_t>();
        if (value.size() <= extrasIndex)
            return message;
        const json& extras = value.at(extrasIndex);
        message.fullTable = extras.contains("a");
        message.relayTo = extras.value("r", "");
        for (const auto& member : extras.value("m", json::array()))
            message.members.push_back(decodeMember(member));
        for (const auto& worker : extras.value("w", json::array()))
            message.leavingWorkers.push_back({ { worker.at(0).get<std::string>() }, worker.at(1).get<std::uint64_t>() });
        for (const auto& entry : extras.value("k", json::array()))
            message.knownDomains.push_back({ { entry.at(0).get<std::string>() }, entry.at(1).get<std::uint64_t>() });
        for (const auto& record : extras.value("d", json::array()))
            message.domains.push_back(decodeDomain(record));
        return message;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

} // namespace coriandermount::fleet
