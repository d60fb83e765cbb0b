/// Submits jobs to several nodes at a fixed rate, resubmits failed ones with the same key, and records the answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "load/profile.h"

namespace coriandermount::load {

/// Options of a load run.
struct load_options {
    /// Addresses (`HOST:PORT`) of the nodes; must not be empty.
    std::vector<std::string> nodes;
    /// Profile that the jobs are drawn from.
    profile workload;
    double jobsPerSecond = 50;
    /// Time during which new jobs are submitted.
    std::chrono::milliseconds duration { 5000 };
    /// Share of the jobs that are submitted twice at the same time, each to a random node.
    double duplicateShare = 0.05;
    /// Share of the answered submissions after which the job is submitted again.
    double resubmissionShare = 0.05;
    /// Share of the jobs that are cancelled soon after submission.
    double cancelShare = 0.02;
    /// Number of submissions of one job after which no resubmission is scheduled.
    unsigned maxSubmissions = 6;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    /// File that a `submission_record` is appended to for each submission.
    std::string submissionsFile;
    /// File that a `version_record` is appended to for each answer of a node about its configuration.
    std::string versionsFile;
};

/// Holds the totals of a load run.
struct load_summary {
    std::size_t jobs = 0;
    /// Number of requests, resubmissions included.
    std::size_t submissions = 0;
    /// Jobs of which no submission was answered with `done`.
    std::size_t jobsNeverDone = 0;
};

/// Generates the load of one run. Timers run on the thread that calls `run`.
class load_generator {
public:
    explicit load_generator(load_options options);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Runs the load and blocks until every submission has ended.
    load_summary run();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::load
