#include "event_log/event_buffer.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <string_view>

namespace coriandermount::event_log {

namespace {

    constexpr std::size_t maxTextBytes = 255;
    /// Values of stored fields that stand for an absent value.
    constexpr std::uint8_t noProblem = 0xFF;
    constexpr std::uint32_t noTask = 0xFFFFFFFF;
    constexpr std::size_t textsPerEvent = 7;

    /// Fixed-size part of a stored event; the texts follow it without separators, and `textSizes` holds their lengths.
    struct stored_header {
        std::uint64_t jobHash;
        std::uint64_t sequence;
        std::int64_t at;
        std::int64_t issuedAt;
        std::uint64_t configurationVersion;
        std::int64_t elapsed;
        std::uint32_t elapsedPart;
        std::uint32_t task;
        std::uint16_t size;
        std::uint8_t kind;
        std::uint8_t problem;
        std::array<std::uint8_t, textsPerEvent> textSizes;
        std::uint8_t hasJob;
    };
    static_assert(sizeof(stored_header) == 72);

    using texts = std::array<std::string_view, textsPerEvent>;

    texts textsOf(const event& entry)
    {
        const bool hasJob = entry.job.has_value();
        texts all { hasJob ? std::string_view(entry.job->customer.value) : std::string_view(),
            hasJob ? std::string_view(entry.job->name) : std::string_view(), entry.subject, entry.rule, entry.limit, entry.value,
            entry.author };
        for (auto& text : all)
            text = text.substr(0, maxTextBytes);
        return all;
    }

    std::uint64_t hashOf(const job_key& key) { return std::hash<job_key> {}(key); }

    std::uint32_t clampToUint32(std::int64_t value)
    {
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, UINT32_MAX));
    }

    stored_header headerOf(const event& entry, const texts& all)
    {
        stored_header header {};
        header.hasJob = entry.job ? 1 : 0;
        header.jobHash = entry.job ? hashOf(*entry.job) : 0;
        header.issuedAt = entry.job ? entry.job->issuedAt.time_since_epoch().count() : 0;
        header.sequence = entry.sequence;
        header.at = entry.at.time_since_epoch().count();
        header.configurationVersion = entry.configurationVersion;
        header.elapsed = entry.elapsed.count();
        header.elapsedPart = clampToUint32(entry.elapsedPart.count());
        header.task = entry.task.value_or(noTask);
        header.kind = static_cast<std::uint8_t>(entry.kind);
        header.problem = entry.problem ? static_cast<std::uint8_t>(*entry.problem) : noProblem;
        std::size_t size = sizeof(stored_header);
        for (std::size_t index = 0; index < all.size(); ++index) {
            header.textSizes[index] = static_cast<std::uint8_t>(all[index].size());
            size += all[index].size();
        }
        header.size = static_cast<std::uint16_t>(size);
        return header;
    }

    event eventFrom(const stored_header& header, const char* text)
    {
        std::array<std::string, textsPerEvent> all;
        for (std::size_t index = 0; index < all.size(); ++index) {
            all[index].assign(text, header.textSizes[index]);
            text += header.textSizes[index];
        }
        event entry;
        entry.kind = static_cast<event_kind>(header.kind);
        entry.at = wall_time(std::chrono::milliseconds(header.at));
        if (header.hasJob)
            entry.job
                = job_key { { std::move(all[0]) }, std::move(all[1]), wall_time(std::chrono::milliseconds(header.issuedAt)) };
        if (header.task != noTask)
            entry.task = header.task;
        if (header.problem != noProblem)
            entry.problem = static_cast<error_kind>(header.problem);
        entry.subject = std::move(all[2]);
        entry.rule = std::move(all[3]);
        entry.limit = std::move(all[4]);
        entry.value = std::move(all[5]);
        entry.author = std::move(all[6]);
        entry.elapsed = std::chrono::microseconds(header.elapsed);
        entry.elapsedPart = std::chrono::microseconds(header.elapsedPart);
        entry.configurationVersion = header.configurationVersion;
        entry.sequence = header.sequence;
        return entry;
    }

} // namespace

struct event_buffer::chunk {
    std::size_t entries = 0;
    std::array<char, chunkBytes> bytes;
};

struct event_buffer::data {
    struct stored_chunk {
        std::shared_ptr<chunk> bytes;
        std::size_t used = 0;
        std::uint64_t lastSequence = 0;
    };

    std::size_t maxChunks;
    std::deque<stored_chunk> chunks;
    std::size_t entries = 0;
    std::uint64_t appended = 0;
};

event_buffer::event_buffer(std::size_t capacityBytes)
    : m_data(std::make_unique<data>())
{
    m_data->maxChunks = std::max<std::size_t>(2, capacityBytes / chunkBytes);
}

event_buffer::~event_buffer() = default;
event_buffer::event_buffer(event_buffer&&) noexcept = default;
event_buffer& event_buffer::operator=(event_buffer&&) noexcept = default;

void event_buffer::append(const event& entry)
{
    const texts all = textsOf(entry);
    const stored_header header = headerOf(entry, all);
    if (m_data->chunks.empty() || m_data->chunks.back().used + header.size > chunkBytes) {
        if (m_data->chunks.size() >= m_data->maxChunks) {
            m_data->entries -= m_data->chunks.front().bytes->entries;
            m_data->chunks.pop_front();
        }
        // std::make_shared would value-initialise the chunk, which writes all its bytes once more.
        m_data->chunks.push_back({ std::shared_ptr<chunk>(new chunk), 0, 0 });
    }
    auto& last = m_data->chunks.back();
    char* position = last.bytes->bytes.data() + last.used;
    std::memcpy(position, &header, sizeof(header));
    position += sizeof(header);
    for (const auto text : all)
        position = std::copy(text.begin(), text.end(), position);
    last.used += header.size;
    last.lastSequence = entry.sequence;
    ++last.bytes->entries;
    ++m_data->entries;
    ++m_data->appended;
}

event_buffer::view event_buffer::snapshot() const
{
    view copied;
    copied.appended = m_data->appended;
    copied.chunks.reserve(m_data->chunks.size());
    for (const auto& stored : m_data->chunks)
        copied.chunks.push_back({ stored.bytes, stored.used, stored.lastSequence });
    return copied;
}

std::size_t event_buffer::usedBytes() const { return m_data->chunks.size() * sizeof(chunk); }

std::size_t event_buffer::size() const { return m_data->entries; }

namespace {

    struct matched_event {
        stored_header header;
        const char* text;
    };

    bool matches(const stored_header& header, const event_filter& filter, std::uint64_t expectedHash)
    {
        if (header.sequence <= filter.afterSequence || header.at < filter.since.time_since_epoch().count())
            return false;
        if (header.at > filter.until.time_since_epoch().count())
            return false;
        return !filter.job || (header.hasJob && header.jobHash == expectedHash);
    }

    std::vector<matched_event> findMatches(const event_buffer::view& source, const event_filter& filter)
    {
        const std::uint64_t expectedHash = filter.job ? hashOf(*filter.job) : 0;
        std::vector<matched_event> found;
        for (const auto& chunkView : source.chunks) {
            if (chunkView.lastSequence <= filter.afterSequence)
                continue;
            std::size_t offset = 0;
            while (offset < chunkView.used) {
                matched_event candidate {};
                std::memcpy(&candidate.header, chunkView.bytes->bytes.data() + offset, sizeof(stored_header));
                candidate.text = chunkView.bytes->bytes.data() + offset + sizeof(stored_header);
                offset += candidate.header.size;
                if (matches(candidate.header, filter, expectedHash))
                    found.push_back(candidate);
            }
        }
        return found;
    }

} // namespace

void scan(const event_buffer::view& source, const event_filter& filter, std::vector<event>& found)
{
    const auto candidates = findMatches(source, filter);
    const std::size_t skipped = candidates.size() - std::min(candidates.size(), filter.maxEvents);
    for (std::size_t index = skipped; index < candidates.size(); ++index) {
        event entry = eventFrom(candidates[index].header, candidates[index].text);
        if (!filter.job || entry.job == *filter.job)
            found.push_back(std::move(entry));
    }
}

} // namespace coriandermount::event_log
