/// Compares the answers that callers received with the task starts that workers recorded.
#pragma once

#include <string>
#include <vector>

#include "load/record.h"

namespace coriandermount::load {

/// Holds everything that was recorded in one run of the load generator.
struct run_records {
    std::vector<submission_record> submissions;
    std::vector<version_record> versions;
    std::vector<start_record> starts;
    /// Addresses of the nodes that were drained. Every request that may have reached a drained node must be answered.
    std::vector<std::string> drainedNodes;
};

/// Holds the counts and the violations of one run. All violation counts of a correct run are 0.
struct report {
    /// Number of distinct job keys.
    std::size_t jobs = 0;
    std::size_t submissions = 0;
    /// Submissions by their answer; `lost` counts those that may have arrived but got no valid answer.
    std::size_t done = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t lost = 0;
    /// Task starts that the workers recorded.
    std::size_t starts = 0;

    /// Violation: tasks that were started more than once.
    std::size_t doubleStarts = 0;
    /// Violation: answers `not_run` for jobs that had a task started before.
    std::size_t falseNotRun = 0;
    /// Violation: answers whose outputs don't fit the outcome (`submission_record::outputsConsistent`).
    std::size_t inconsistentAnswers = 0;
    /// Violation: tasks of answers `done` that no worker started.
    std::size_t doneWithoutStart = 0;
    /// Violation: records of a VM with an older configuration version than an earlier record of the same VM.
    std::size_t versionRegressions = 0;
    /// Violation: requests that may have reached a drained node but got no valid answer.
    std::size_t lostAtDrainedNodes = 0;

    /// Descriptions of the violations found first, one line each. The number of lines is bounded.
    std::vector<std::string> details;

    /// Returns the number of violations of all kinds.
    std::size_t violations() const
    {
        return doubleStarts + falseNotRun + inconsistentAnswers + doneWithoutStart + versionRegressions + lostAtDrainedNodes;
    }
};

/// Checks the records of one run against each other.
report checkRecords(const run_records& run);

/// Reads the records of a run. Fails with `malformed_request` on the first line that can't be decoded, and names the file and
/// the line. A file that doesn't exist counts as empty.
result<run_records> readRunRecords(
    const std::string& submissionsFile, const std::string& versionsFile, const std::vector<std::string>& startsFiles);

} // namespace coriandermount::load
