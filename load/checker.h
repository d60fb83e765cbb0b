/// Compares what callers saw with what workers ran.
#pragma once

#include <string>
#include <vector>

#include "load/record.h"

namespace coriandermount::load {

/// Everything that was recorded in one run.
struct run_records {
    std::vector<submission_record> submissions;
    std::vector<version_record> versions;
    std::vector<start_record> starts;
    /// Nodes that were drained; no request to them may be cut off.
    std::vector<std::string> drainedNodes;
};

/// Counts of one run; the violations must all be 0.
struct report {
    std::size_t jobs = 0;
    std::size_t submissions = 0;
    std::size_t done = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t lost = 0;
    std::size_t starts = 0;

    std::size_t doubleStarts = 0;
    std::size_t falseNotRun = 0;
    std::size_t inconsistentAnswers = 0;
    std::size_t doneWithoutStart = 0;
    std::size_t versionRegressions = 0;
    std::size_t lostAtDrainedNodes = 0;

    /// One line for each violation, at most some dozens.
    std::vector<std::string> details;

    std::size_t violations() const
    {
        return doubleStarts + falseNotRun + inconsistentAnswers + doneWithoutStart + versionRegressions + lostAtDrainedNodes;
    }
};

report check(const run_records& run);

/// Reads the records of a run; a line that can't be read is an error.
result<run_records> readRunRecords(
    const std::string& submissionsFile, const std::string& versionsFile, const std::vector<std::string>& startsFiles);

} // namespace coriandermount::load
