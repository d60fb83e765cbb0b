#include "event_log/event_codec.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::event_log {

using nlohmann::json;

namespace {

    /// Positions in the JSON array of one event. The format is stored in the log, so new fields may only be added at the end.
    enum field : std::uint8_t {
        field_kind,
        field_time,
        field_sequence,
        field_customer,
        field_name,
        field_issued,
        field_task,
        field_problem,
        field_subject,
        field_rule,
        field_limit,
        field_value,
        field_elapsed,
        field_elapsed_part,
        field_version,
        field_author,
        field_count,
    };

    constexpr std::string_view opening = "{\"texts\":[";
    constexpr std::string_view middle = "],\"events\":[";
    constexpr std::string_view closing = "]}";

    std::string quoted(const std::string& text) { return json(text).dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

struct event_list_encoder::data {
    std::unordered_map<std::string, std::size_t> numbers;
    std::string texts;
    std::string events;
    std::int64_t lastTime = 0;
    std::uint64_t lastSequence = 0;

    /// Returns the number of a text in the table, which starts at 1; 0 is the empty text. Appends a new text to `added`.
    std::int64_t numberOf(const std::string& text, std::vector<std::string>& added)
    {
        if (text.empty())
            return 0;
        const auto known = numbers.find(text);
        if (known != numbers.end())
            return static_cast<std::int64_t>(known->second);
        const auto found = std::find(added.begin(), added.end(), text);
        const auto position = static_cast<std::size_t>(found - added.begin());
        if (found == added.end())
            added.push_back(text);
        return static_cast<std::int64_t>(numbers.size() + position + 1);
    }

    std::array<std::int64_t, field_count> fieldsOf(const event& entry, std::vector<std::string>& added)
    {
        std::array<std::int64_t, field_count> fields {};
        const std::int64_t time = entry.at.time_since_epoch().count();
        fields[field_kind] = numberOf(std::string(nameOf(entry.kind)), added);
        fields[field_time] = time - lastTime;
        fields[field_sequence] = static_cast<std::int64_t>(entry.sequence - lastSequence);
        fields[field_customer] = entry.job ? numberOf(entry.job->customer.value, added) : 0;
        fields[field_name] = entry.job ? numberOf(entry.job->name, added) : 0;
        // Issue times are close to the event's time, so that the difference takes fewer digits.
        fields[field_issued] = entry.job ? time - entry.job->issuedAt.time_since_epoch().count() : 0;
        fields[field_task] = entry.task ? static_cast<std::int64_t>(*entry.task) + 1 : 0;
        fields[field_problem] = entry.problem ? numberOf(std::string(nameOf(*entry.problem)), added) : 0;
        fields[field_subject] = numberOf(entry.subject, added);
        fields[field_rule] = numberOf(entry.rule, added);
        fields[field_limit] = numberOf(entry.limit, added);
        fields[field_value] = numberOf(entry.value, added);
        fields[field_elapsed] = entry.elapsed.count();
        fields[field_elapsed_part] = entry.elapsedPart.count();
        fields[field_version] = static_cast<std::int64_t>(entry.configurationVersion);
        fields[field_author] = numberOf(entry.author, added);
        return fields;
    }
};

event_list_encoder::event_list_encoder()
    : m_data(std::make_unique<data>())
{
}

event_list_encoder::~event_list_encoder() = default;

bool event_list_encoder::add(const event& entry, std::size_t maxBytes)
{
    std::vector<std::string> added;
    const auto fields = m_data->fieldsOf(entry, added);
    std::size_t used = fields.size();
    while (used > 0 && fields[used - 1] == 0)
        --used;
    std::string line = m_data->events.empty() ? "[" : ",[";
    line += fmt::format("{}", fmt::join(fields.begin(), fields.begin() + static_cast<std::ptrdiff_t>(used), ","));
    line += "]";
    std::string newTexts;
    for (const auto& text : added) {
        if (!m_data->texts.empty() || !newTexts.empty())
            newTexts += ',';
        newTexts += quoted(text);
    }
    if (size() + line.size() + newTexts.size() > maxBytes)
        return false;
    for (const auto& text : added)
        m_data->numbers.emplace(text, m_data->numbers.size() + 1);
    m_data->texts += newTexts;
    m_data->events += line;
    m_data->lastTime = entry.at.time_since_epoch().count();
    m_data->lastSequence = entry.sequence;
    return true;
}

std::size_t event_list_encoder::size() const
{
    return opening.size() + m_data->texts.size() + middle.size() + m_data->events.size() + closing.size();
}

std::string event_list_encoder::text() const
{
    return fmt::format("{}{}{}{}{}", opening, m_data->texts, middle, m_data->events, closing);
}

std::string encodeEvents(const std::vector<event>& events)
{
    event_list_encoder encoder;
    for (const auto& entry : events)
        encoder.add(entry, SIZE_MAX);
    return encoder.text();
}

std::optional<event_kind> findEventKind(std::string_view name)
{
    for (std::size_t index = 0; index < eventKindCount; ++index) {
        if (nameOf(static_cast<event_kind>(index)) == name)
            return static_cast<event_kind>(index);
    }
    return std::nullopt;
}

namespace {

    /// Decodes events in their order: times and sequence numbers are encoded as differences from the event before.
    class list_decoder {
    public:
        list_decoder(const json& texts, vm_id vm)
            : m_vm(std::move(vm))
        {
            m_texts.emplace_back();
            for (const auto& text : texts)
                m_texts.push_back(text.get<std::string>());
        }

        /// Returns nothing for an event of an unknown kind.
        std::optional<event> read(const json& line)
        {
            m_time += number(line, field_time);
            m_sequence += static_cast<std::uint64_t>(number(line, field_sequence));
            const auto kind = findEventKind(text(line, field_kind));
            if (!kind)
                return std::nullopt;
            event entry;
            entry.kind = *kind;
            entry.vm = m_vm;
            entry.at = wall_time(std::chrono::milliseconds(m_time));
            entry.sequence = m_sequence;
            if (number(line, field_name) != 0)
                entry.job = job_key { { text(line, field_customer) }, text(line, field_name),
                    wall_time(std::chrono::milliseconds(m_time - number(line, field_issued))) };
            if (number(line, field_task) != 0)
                entry.task = static_cast<std::uint32_t>(number(line, field_task) - 1);
            if (number(line, field_problem) != 0)
                entry.problem = findErrorKind(text(line, field_problem)).value_or(error_kind::internal_error);
            entry.subject = text(line, field_subject);
            entry.rule = text(line, field_rule);
            entry.limit = text(line, field_limit);
            entry.value = text(line, field_value);
            entry.elapsed = std::chrono::microseconds(number(line, field_elapsed));
            entry.elapsedPart = std::chrono::microseconds(number(line, field_elapsed_part));
            entry.configurationVersion = static_cast<std::uint64_t>(number(line, field_version));
            entry.author = text(line, field_author);
            return entry;
        }

    private:
        static std::int64_t number(const json& line, field position)
        {
            return position < line.size() ? line.at(position).get<std::int64_t>() : 0;
        }

        const std::string& text(const json& line, field position) const
        {
            return m_texts.at(static_cast<std::size_t>(number(line, position)));
        }

        vm_id m_vm;
        std::vector<std::string> m_texts;
        std::int64_t m_time = 0;
        std::uint64_t m_sequence = 0;
    };

} // namespace

result<std::vector<event>> decodeEvents(const std::string& text, const vm_id& vm)
{
    try {
        const json list = json::parse(text);
        list_decoder decoder(list.at("texts"), vm);
        std::vector<event> events;
        for (const auto& line : list.at("events")) {
            if (auto entry = decoder.read(line))
                events.push_back(std::move(*entry));
        }
        return events;
    } catch (const std::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

} // namespace coriandermount::event_log
