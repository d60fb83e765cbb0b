// Load generator and checker: submits jobs, and afterwards compares the answers with the tasks that workers ran.
#include <cstdlib>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "load/checker.h"
#include "load/load_generator.h"
#include "main/program.h"

using namespace coriandermount;

namespace {

constexpr int exitViolation = 1;

/// Splits `text` at commas.
std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
        items.push_back(item);
    return items;
}

int runLoad(const cxxopts::ParseResult& parsed)
{
    auto workload = load::findProfile(parsed["profile"].as<std::string>());
    if (!workload) {
        fmt::print(stderr, "{}\n", workload.error().detail);
        return exitUsage;
    }
    load::load_options options;
    options.nodes = splitList(parsed["nodes"].as<std::string>());
    options.workload = std::move(*workload);
    options.jobsPerSecond = parsed["rate"].as<double>();
    options.duration = std::chrono::milliseconds(parsed["duration-ms"].as<std::int64_t>());
    options.duplicateShare = parsed["twins"].as<double>();
    options.cancelShare = parsed["cancels"].as<double>();
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.submissionsFile = parsed["submissions"].as<std::string>();
    options.versionsFile = parsed["versions"].as<std::string>();
    const load::load_summary summary = load::load_generator(options).run();
    fmt::print("jobs={} submissions={} never_done={}\n", summary.jobs, summary.submissions, summary.jobsNeverDone);
    return EXIT_SUCCESS;
}

int runCheck(const cxxopts::ParseResult& parsed)
{
    auto run = load::readRunRecords(parsed["submissions"].as<std::string>(), parsed["versions"].as<std::string>(),
        splitList(parsed["starts"].as<std::string>()));
    if (!run) {
        fmt::print(stderr, "{}\n", run.error().detail);
        return exitUsage;
    }
    run->drainedNodes = splitList(parsed["drained"].as<std::string>());
    const load::report report = load::checkRecords(*run);
    fmt::print("jobs={} submissions={} done={} not_run={} may_have_run={} lost={} starts={} double_starts={} false_not_run={} "
               "partial={} done_without_start={} reverts={} cut_off={}\n",
        report.jobs, report.submissions, report.done, report.notRun, report.mayHaveRun, report.lost, report.starts,
        report.doubleStarts, report.falseNotRun, report.inconsistentAnswers, report.doneWithoutStart, report.versionRegressions,
        report.lostAtDrainedNodes);
    for (const auto& detail : report.details)
        fmt::print("violation: {}\n", detail);
    return report.violations() == 0 ? EXIT_SUCCESS : exitViolation;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("coriandermount-load",
        "Generates load and checks the answers.\n\n"
        "  coriandermount-load run    submit jobs and record the answers\n"
        "  coriandermount-load check  compare the records with the tasks that workers started\n");
    options.add_options()("command", "run or check", cxxopts::value<std::string>())(
        "nodes", "Addresses of the nodes, separated by commas", cxxopts::value<std::string>()->default_value("127.0.0.1:7400"))(
        "profile", "kellari, laulukaar or sample", cxxopts::value<std::string>()->default_value("sample"))(
        "rate", "Jobs per second", cxxopts::value<double>()->default_value("50"))(
        "duration-ms", "Duration of the run, in ms", cxxopts::value<std::int64_t>()->default_value("5000"))("twins",
        "Share of the jobs that are submitted to two nodes at the same time", cxxopts::value<double>()->default_value("0.05"))(
        "cancels", "Share of the jobs that are cancelled", cxxopts::value<double>()->default_value("0.02"))(
        "seed", "Seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))("submissions",
        "File with one line for each submission", cxxopts::value<std::string>()->default_value("submissions.jsonl"))("versions",
        "File with one line for each configuration version seen", cxxopts::value<std::string>()->default_value("versions.jsonl"))(
        "starts", "Files with the task starts of the workers, separated by commas",
        cxxopts::value<std::string>()->default_value(""))("drained", "Nodes that were drained, separated by commas",
        cxxopts::value<std::string>()->default_value(""))("help", "Print this help");
    options.parse_positional({ "command" });
    options.positional_help("COMMAND");
    const auto parsed = options.parse(argc, argv);
    const std::string command = parsed.count("command") ? parsed["command"].as<std::string>() : "";
    if (!parsed.count("help") && command == "run")
        return runLoad(parsed);
    if (!parsed.count("help") && command == "check")
        return runCheck(parsed);
    fmt::print("{}", options.help());
    return parsed.count("help") ? EXIT_SUCCESS : exitUsage;
}

} // namespace

int main(int argc, char** argv) { return runProgram("coriandermount-load", &run, argc, argv); }
