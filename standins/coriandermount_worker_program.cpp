// Program that runs stand-in workers.
#include <cstdlib>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "main/program.h"
#include "main/signals.h"
#include "standins/worker_server.h"

using namespace coriandermount;

namespace {

int run(int argc, char** argv)
{
    cxxopts::Options options("coriandermount-worker", "Stand-in for a worker of the platform.");
    options.add_options()("address", "IPv4 address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port to listen on", cxxopts::value<std::uint16_t>()->default_value("7600"))(
        "count", "Number of workers, on consecutive ports", cxxopts::value<std::uint16_t>()->default_value("1"))("starts",
        "File to which a JSON line is appended for each task start",
        cxxopts::value<std::string>()->default_value(""))("slots", "Tasks that each worker may run at the same time",
        cxxopts::value<unsigned>()->default_value("8"))("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        fmt::print("{}", options.help());
        return EXIT_SUCCESS;
    }
    blockTerminationSignals();
    standins::worker_server_options server;
    server.address = parsed["address"].as<std::string>();
    server.port = parsed["port"].as<std::uint16_t>();
    server.slots = parsed["slots"].as<unsigned>();
    server.startsFile = parsed["starts"].as<std::string>();
    std::vector<std::unique_ptr<standins::worker_server>> workers;
    for (std::uint16_t index = 0; index < parsed["count"].as<std::uint16_t>(); ++index, ++server.port) {
        workers.push_back(std::make_unique<standins::worker_server>(server));
        if (auto started = workers.back()->start(); !started) {
            fmt::print(stderr, "{}\n", started.error().detail);
            return exitUsage;
        }
    }
    waitForTerminationSignal();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) { return runProgram("coriandermount-worker", &run, argc, argv); }
