/// Submits jobs to several nodes at a fixed rate, resubmits as careful callers do, and records what comes back.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "load/profile.h"

namespace coriandermount::load {

struct load_options {
    std::vector<std::string> nodes;
    profile workload;
    double jobsPerSecond = 50;
    std::chrono::milliseconds duration { 5000 };
    /// Share of the jobs that two nodes get at the same time.
    double duplicateShare = 0.05;
    /// Share of the answered jobs that are submitted again.
    double resubmissionShare = 0.05;
    /// Share of the jobs that are cancelled soon after submission.
    double cancelShare = 0.02;
    /// Submissions of one job at most.
    unsigned maxSubmissions = 6;
    std::uint64_t seed = 1;
    std::string submissionsFile;
    std::string versionsFile;
};

/// Figures of a run that the records do not hold.
struct load_summary {
    std::size_t jobs = 0;
    std::size_t submissions = 0;
    /// Jobs without any `done` answer.
    std::size_t neverDone = 0;
};

class load_generator {
public:
    explicit load_generator(load_options options);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Runs the load and waits until every submission has ended.
    load_summary run();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::load
