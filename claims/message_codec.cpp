#include "claims/message_codec.h"

#include <nlohmann/json.hpp>

namespace coriandermount {

using nlohmann::json;

namespace {

    wall_time timeFromMilliseconds(const json& source)
    {
        return wall_time(std::chrono::milliseconds(source.get<std::int64_t>()));
    }

    std::int64_t millisecondsOf(wall_time time) { return time.time_since_epoch().count(); }

} // namespace

template <class Tag> void to_json(json& target, const identifier<Tag>& id) { target = id.value; }
template <class Tag> void from_json(const json& source, identifier<Tag>& id) { id.value = source.get<std::string>(); }

void to_json(json& target, const job_key& key) { target = json::array({ key.customer, key.name, millisecondsOf(key.issuedAt) }); }

void from_json(const json& source, job_key& key)
{
    key.customer = source.at(0).get<customer_id>();
    key.name = source.at(1).get<std::string>();
    key.issuedAt = timeFromMilliseconds(source.at(2));
}

namespace claims {

    // NOLINTBEGIN(readability-identifier-naming): the JSON library requires these names.
    void to_json(json& target, const vm_ref& vm) { target = json::array({ vm.id, vm.incarnation, vm.address }); }

    void from_json(const json& source, vm_ref& vm)
    {
        vm.id = source.at(0).get<vm_id>();
        vm.incarnation = source.at(1).get<std::uint64_t>();
        vm.address = source.at(2).get<std::string>();
    }

    void to_json(json& target, const attempt_ref& attempt) { target = json::array({ attempt.runner, attempt.number }); }

    void from_json(const json& source, attempt_ref& attempt)
    {
        attempt.runner = source.at(0).get<vm_ref>();
        attempt.number = source.at(1).get<std::uint64_t>();
    }

    void to_json(json& target, const claim_record& record) { target = json::array({ record.holder, record.contentDigest }); }

    void from_json(const json& source, claim_record& record)
    {
        record.holder = source.at(0).get<attempt_ref>();
        record.contentDigest = source.at(1).get<std::uint64_t>();
    }

    void to_json(json& target, const std::optional<claim_record>& record) { target = record ? json(*record) : json(); }

    void from_json(const json& source, std::optional<claim_record>& record)
    {
        record.reset();
        if (!source.is_null())
            record = source.get<claim_record>();
    }

    void to_json(json& target, const view_member& member) { target = json::array({ member.vm, member.rack }); }

    void from_json(const json& source, view_member& member)
    {
        member.vm = source.at(0).get<vm_ref>();
        member.rack = source.at(1).get<std::string>();
    }

    void to_json(json& target, const claim_view& view)
    {
        target = { { "view", view.number }, { "members", view.members }, { "created_at_ms", millisecondsOf(view.createdAt) } };
    }

    void from_json(const json& source, claim_view& view)
    {
        view.number = source.at("view").get<std::uint64_t>();
        view.members = source.at("members").get<std::vector<view_member>>();
        view.createdAt = timeFromMilliseconds(source.at("created_at_ms"));
    }
    // NOLINTEND(readability-identifier-naming)

    namespace {

        /// Returns `[kind, field, ...]`.
        json encodeMessage(const message& entry)
        {
            return std::visit(
                [&entry](const auto& value) {
                    return std::apply(
                        [&entry](const auto&... field) {
                            return json::array({ entry.index(), field... });
                        },
                        fieldsOf(value));
                },
                entry);
        }

        /// Decodes a message of the kind `index`, which is its position in the variant.
        template <std::size_t Index = 0> message decodeMessage(std::size_t index, const json& body)
        {
            if constexpr (Index < std::variant_size_v<message>) {
                if (index == Index) {
                    std::variant_alternative_t<Index, message> value;
                    std::apply(
                        [&body](auto&... field) {
                            std::size_t position = 1;
                            ((field = body.at(position++).get<std::remove_reference_t<decltype(field)>>()), ...);
                        },
                        fieldsOf(value));
                    return value;
                }
                return decodeMessage<Index + 1>(index, body);
            } else {
                throw json::out_of_range::create(401, "unknown message kind", &body);
            }
        }

    } // namespace

    std::string encodeBatch(const message_batch& batch)
    {
        json list = json::array();
        for (const auto& entry : batch.messages)
            list.push_back(encodeMessage(entry));
        return json::array({ batch.from, std::move(list) }).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    result<message_batch> decodeBatch(const std::string& text)
    {
        try {
            const json source = json::parse(text);
            message_batch batch;
            batch.from = source.at(0).get<std::string>();
            const json& list = source.at(1);
            batch.messages.reserve(list.size());
            for (const auto& entry : list)
                batch.messages.push_back(decodeMessage(entry.at(0).get<std::size_t>(), entry));
            return batch;
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, problem.what());
        }
    }

} // namespace claims

} // namespace coriandermount
