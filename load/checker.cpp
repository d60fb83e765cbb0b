#include "load/checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <unordered_map>

#include <fmt/format.h>

namespace coriandermount::load {

namespace {

    constexpr std::size_t maxDetails = 40;

    /// Maps a task id to the times of its starts.
    using start_index = std::unordered_map<std::string, std::vector<wall_time>>;
    using jobs_by_key = std::map<job_key, std::vector<const submission_record*>>;

    class checker {
    public:
        explicit checker(const run_records& run)
            : m_run(run)
        {
        }

        report checkRecords()
        {
            buildIndexes();
            checkStarts();
            checkSubmissions();
            checkVersions();
            return std::move(m_report);
        }

    private:
        void buildIndexes()
        {
            for (const auto& start : m_run.starts)
                m_starts[start.taskId].push_back(start.at);
            for (const auto& submission : m_run.submissions)
                m_jobs[submission.key].push_back(&submission);
            m_report.jobs = m_jobs.size();
            m_report.submissions = m_run.submissions.size();
            m_report.starts = m_run.starts.size();
        }

        void addViolation(std::size_t& counter, std::string detail)
        {
            ++counter;
            if (m_report.details.size() < maxDetails)
                m_report.details.push_back(std::move(detail));
        }

        void checkStarts()
        {
            for (const auto& [task, times] : m_starts) {
                if (times.size() > 1)
                    addViolation(m_report.doubleStarts, fmt::format("task {} was started {} times", task, times.size()));
            }
        }

        void checkSubmissions()
        {
            for (const auto& submission : m_run.submissions) {
                if (submission.status != submission_status::answered) {
                    checkLost(submission);
                    continue;
                }
                if (!submission.outputsConsistent)
                    addViolation(m_report.inconsistentAnswers,
                        fmt::format("job {} got an answer with missing or foreign outputs", submission.key.name));
                if (submission.result == outcome::done)
                    checkDone(submission);
                else if (submission.result == outcome::not_run)
                    checkNotRun(submission);
                else
                    ++m_report.mayHaveRun;
            }
        }

        void checkLost(const submission_record& submission)
        {
            if (submission.status != submission_status::lost)
                return;
            ++m_report.lost;
            const auto& drained = m_run.drainedNodes;
            if (std::find(drained.begin(), drained.end(), submission.node) != drained.end())
                addViolation(m_report.lostAtDrainedNodes,
                    fmt::format("job {} got no valid answer from the drained node {}", submission.key.name, submission.node));
        }

        void checkDone(const submission_record& submission)
        {
            ++m_report.done;
            for (std::size_t index = 0; index < submission.taskCount; ++index) {
                if (!m_starts.contains(taskIdOf(submission.key, index)))
                    addViolation(m_report.doneWithoutStart,
                        fmt::format("task {} was answered as done but never started", taskIdOf(submission.key, index)));
            }
        }

        /// Reports an answer `not_run` as false in two cases: a task was started before the submission was sent; or a task was
        /// started before the answer, and no other submission of the job overlapped that could have caused the start.
        void checkNotRun(const submission_record& submission)
        {
            ++m_report.notRun;
            const bool isOnlySubmission = !overlapsAnother(submission);
            const wall_time limit = isOnlySubmission ? submission.endedAt : submission.sentAt;
            for (std::size_t index = 0; index < submission.taskCount; ++index) {
                const auto found = m_starts.find(taskIdOf(submission.key, index));
                if (found == m_starts.end())
                    continue;
                if (std::any_of(found->second.begin(), found->second.end(), [limit](wall_time at) { return at < limit; })) {
                    addViolation(m_report.falseNotRun,
                        fmt::format("job {} was answered as not run ({}) by {} after one of its tasks had started",
                            submission.key.name, submission.problem ? nameOf(*submission.problem) : "", submission.node));
                    return;
                }
            }
        }

        /// Returns whether another submission of the job overlaps. A submission whose answer was lost may still be processed
        /// until the end of the run.
        bool overlapsAnother(const submission_record& submission) const
        {
            const auto& all = m_jobs.at(submission.key);
            return std::any_of(all.begin(), all.end(), [&submission](const submission_record* other) {
                if (other == &submission || other->status == submission_status::not_sent)
                    return false;
                const bool beganBefore = other->sentAt <= submission.endedAt;
                const bool endedAfter = other->status == submission_status::lost || other->endedAt >= submission.sentAt;
                return beganBefore && endedAfter;
            });
        }

        void checkVersions()
        {
            std::map<std::pair<std::string, std::string>, std::uint64_t> newest;
            for (const auto& record : m_run.versions) {
                std::uint64_t& known = newest[{ record.node, record.vm }];
                if (record.version < known)
                    addViolation(m_report.versionRegressions,
                        fmt::format(
                            "configuration version of node {} decreased from {} to {}", record.node, known, record.version));
                known = std::max(known, record.version);
            }
        }

        const run_records& m_run;
        report m_report;
        start_index m_starts;
        jobs_by_key m_jobs;
    };

    template <class Record, class Decoder>
    result<void> readLines(const std::string& path, std::vector<Record>& target, Decoder decode)
    {
        std::ifstream file(path);
        std::string line;
        for (std::size_t number = 1; std::getline(file, line); ++number) {
            auto record = decode(line);
            if (!record)
                return fail(record.error().kind, fmt::format("{}:{}: {}", path, number, record.error().detail));
            target.push_back(std::move(*record));
        }
        return {};
    }

} // namespace

report checkRecords(const run_records& run) { return checker(run).checkRecords(); }

result<run_records> readRunRecords(
    const std::string& submissionsFile, const std::string& versionsFile, const std::vector<std::string>& startsFiles)
{
    run_records run;
    if (auto read = readLines(submissionsFile, run.submissions, &decodeSubmission); !read)
        return tl::unexpected<error>(read.error());
    if (auto read = readLines(versionsFile, run.versions, &decodeVersion); !read)
        return tl::unexpected<error>(read.error());
    for (const auto& file : startsFiles) {
        if (auto read = readLines(file, run.starts, &decodeStart); !read)
            return tl::unexpected<error>(read.error());
    }
    return run;
}

} // namespace coriandermount::load
