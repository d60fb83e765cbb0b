#include "jobs/record_codec.h"

#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"

namespace coriandermount::jobs {

namespace {

    using json = nlohmann::json;

    constexpr char acceptedPrefix = 'j';
    constexpr char cancelledPrefix = 'x';
    constexpr char progressPrefix = 'p';
    constexpr char finishedPrefix = 'f';
    constexpr char ownerPrefix = 'o';

    std::string pack(const json& value) { return value.dump(); }

    /// A value of the right type that would do harm; another writer may have written the record.
    struct unusable_value : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    template <class Decode> auto unpack(const std::string& value, Decode decode) -> result<decltype(decode(json()))>
    {
        try {
            return decode(json::parse(value));
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, fmt::format("a record can't be decoded: {}", problem.what()));
        } catch (const unusable_value& problem) {
            return fail(error_kind::malformed_request, fmt::format("a record can't be used: {}", problem.what()));
        }
    }

    json packStep(const step& current)
    {
        return json::array({ current.taskCount, current.need.cpuMillis, current.need.memoryMegabytes, current.need.accelerators,
            current.estimate.count(), current.dependsOn, current.requiredLabel, current.dataRack, current.maxPerWorker,
            current.gang, current.tightlyCoupled, current.longRunning });
    }

    step unpackStep(const json& value)
    {
        step current;
        current.taskCount = numberIn<std::uint32_t>(value.at(0));
        current.need
            = { numberIn<std::int64_t>(value.at(1)), numberIn<std::int64_t>(value.at(2)), numberIn<std::int64_t>(value.at(3)) };
        current.estimate = std::chrono::milliseconds(numberIn<std::int64_t>(value.at(4)));
        current.dependsOn = numbersIn<std::uint32_t>(value.at(5));
        current.requiredLabel = value.at(6);
        current.dataRack = value.at(7);
        current.maxPerWorker = numberIn<std::uint32_t>(value.at(8));
        current.gang = value.at(9);
        current.tightlyCoupled = value.at(10);
        current.longRunning = value.at(11);
        return current;
    }

    json packAccepted(const accepted_job& accepted)
    {
        json steps = json::array();
        for (const auto& current : accepted.work.steps)
            steps.push_back(packStep(current));
        return json::array({ accepted.work.id, accepted.work.queue, accepted.work.payload, std::move(steps),
            accepted.service.value, accepted.priority, accepted.maxAttempts, accepted.objective.count(),
            accepted.acceptedAt.time_since_epoch().count(), accepted.work.answeredAtEnd });
    }

    constexpr std::chrono::milliseconds longestTime = std::chrono::hours(24 * 365);
    constexpr std::chrono::milliseconds latestWallTime = std::chrono::hours(24 * 365 * 200);

    /// Throws if the time could overflow sums of times.
    std::chrono::milliseconds unpackTime(const json& value, std::chrono::milliseconds longest = longestTime)
    {
        const std::chrono::milliseconds time(numberIn<std::int64_t>(value));
        if (time < -longest || time > longest)
            throw unusable_value(fmt::format("{} ms is not a time that is used", time.count()));
        return time;
    }

    /// Throws if the work of the job can't be handled.
    accepted_job unpackAccepted(const json& fields)
    {
        accepted_job accepted;
        accepted.work = { fields.at(0), fields.at(1), fields.at(2), {}, fields.at(9) };
        for (const auto& current : fields.at(3))
            accepted.work.steps.push_back(unpackStep(current));
        accepted.service.value = fields.at(4);
        accepted.priority = numberIn<std::uint32_t>(fields.at(5));
        accepted.maxAttempts = numberIn<std::uint32_t>(fields.at(6));
        accepted.objective = unpackTime(fields.at(7));
        accepted.acceptedAt = wall_time(unpackTime(fields.at(8), latestWallTime));
        if (const auto checked = checkSteps(accepted.work.steps); !checked)
            throw unusable_value(checked.error().detail);
        return accepted;
    }

} // namespace

record_kind recordKindOf(const std::string& key)
{
    switch (key.empty() ? '\0' : key.front()) {
    case acceptedPrefix:
        return record_kind::accepted;
    case cancelledPrefix:
        return record_kind::cancelled;
    case progressPrefix:
        return record_kind::progress;
    case finishedPrefix:
        return record_kind::finished;
    case ownerPrefix:
        return record_kind::owner;
    default:
        return record_kind::unknown;
    }
}

std::string jobIdOf(const std::string& key) { return key.substr(1); }

std::string acceptedKey(const std::string& jobId) { return acceptedPrefix + jobId; }
std::string cancelledKey(const std::string& jobId) { return cancelledPrefix + jobId; }
std::string progressKey(const std::string& jobId) { return progressPrefix + jobId; }
std::string finishedKey(std::uint64_t epoch, std::uint64_t number)
{
    return fmt::format("{}{}.{}", finishedPrefix, epoch, number);
}

std::string ownerKey() { return std::string(1, ownerPrefix); }

std::string encodeOwner(std::uint64_t epoch) { return pack(json(epoch)); }

result<std::uint64_t> decodeOwner(const std::string& value)
{
    return unpack(value, [](const json& epoch) { return numberIn<std::uint64_t>(epoch); });
}

std::string encodeAccepted(const accepted_job& accepted) { return pack(packAccepted(accepted)); }

result<accepted_job> decodeAccepted(const std::string& value) { return unpack(value, &unpackAccepted); }

std::string encodeRunRequest(const run_request& request)
{
    return pack(json::array({ packAccepted(request.accepted), request.mayHaveStarted, request.timeLeft.count(),
        request.lentBy ? json::array({ request.lentBy->cell, request.lentBy->epoch }) : json(), request.ownerEpoch,
        json::array({ request.id.sender, request.id.number }), request.keptAlive }));
}

result<run_request> decodeRunRequest(const std::string& value)
{
    return unpack(value, [](const json& fields) {
        run_request request { unpackAccepted(fields.at(0)), fields.at(1), unpackTime(fields.at(2)), std::nullopt };
        if (!fields.at(3).is_null())
            request.lentBy = lender { numberIn<std::uint32_t>(fields.at(3).at(0)), numberIn<std::uint64_t>(fields.at(3).at(1)) };
        request.ownerEpoch = numberIn<std::uint64_t>(fields.at(4));
        // Requests of earlier builds cannot be withdrawn.
        if (fields.size() > 5)
            request.id = { numberIn<std::uint64_t>(fields.at(5).at(0)), numberIn<std::uint64_t>(fields.at(5).at(1)) };
        if (fields.size() > 6)
            request.keptAlive = fields.at(6);
        return request;
    });
}

std::string encodeProgress(const std::vector<task_outcome>& outcomes)
{
    json list = json::array();
    for (const auto& current : outcomes) {
        list.push_back(json::array({ current.step, current.index, current.done, current.failedAttempts }));
        if (current.crashes != crash_counts {})
            list.back().push_back(json::array({ current.crashes.confirmed, current.crashes.possible, current.crashes.alone,
                current.crashes.unattributed, current.crashes.unattributedCrashes }));
    }
    return pack(list);
}

result<std::vector<task_outcome>> decodeProgress(const std::string& value)
{
    return unpack(value, [](const json& list) {
        std::vector<task_outcome> outcomes;
        for (const auto& current : list) {
            outcomes.push_back({ numberIn<std::uint32_t>(current.at(0)), numberIn<std::uint32_t>(current.at(1)), current.at(2),
                numbersIn<std::uint64_t>(current.at(3)) });
            // Records of earlier versions hold no crashes.
            if (current.size() <= 4)
                continue;
            const json& crashes = current.at(4);
            crash_counts& counts = outcomes.back().crashes;
            counts = { numberIn<std::uint32_t>(crashes.at(0)), numberIn<std::uint32_t>(crashes.at(1)), crashes.at(2) };
            // Earlier versions counted losses of any kind as crashes.
            if (crashes.size() > 3)
                counts.unattributed = numberIn<std::uint32_t>(crashes.at(3));
            else
                counts = { 0, 0, false, counts.confirmed + counts.possible };
            if (crashes.size() > 4)
                counts.unattributedCrashes = numberIn<std::uint32_t>(crashes.at(4));
        }
        return outcomes;
    });
}

std::string encodeFinished(const finished_list& list)
{
    json jobs = json::array();
    for (const auto& current : list.jobs) {
        jobs.push_back(json::array({ current.id, static_cast<int>(current.state) }));
        // Earlier versions ignore what follows the state.
        if (current.home)
            jobs.back().push_back(*current.home);
    }
    return pack(json::array({ list.at.time_since_epoch().count(), std::move(jobs) }));
}

result<finished_list> decodeFinished(const std::string& value)
{
    return unpack(value, [](const json& fields) {
        finished_list list;
        list.at = wall_time(unpackTime(fields.at(0), latestWallTime));
        for (const auto& current : fields.at(1)) {
            const auto state = numberIn<std::int64_t>(current.at(1));
            if (state < 0 || state > static_cast<std::int64_t>(job_state::cancelled))
                throw unusable_value(fmt::format("{} is not a state of a job", state));
            list.jobs.push_back({ current.at(0), static_cast<job_state>(state), std::nullopt });
            // Lists of earlier versions name no homes.
            if (current.size() > 2)
                list.jobs.back().home = numberIn<std::uint32_t>(current.at(2));
        }
        return list;
    });
}

} // namespace coriandermount::jobs
