// Program that runs the stand-in for the platform's log and list of VMs.
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "main/program.h"
#include "main/signals.h"
#include "platform/codec.h"
#include "standins/platform_server.h"

using namespace coriandermount;

namespace {

result<platform::vm_listing> readListing(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return platform::decodeListing(text.str());
}

int run(int argc, char** argv)
{
    cxxopts::Options options("coriandermount-platform", "Stand-in for the platform's log and VM list.");
    options.add_options()("address", "IPv4 address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port to listen on", cxxopts::value<std::uint16_t>()->default_value("7500"))(
        "listing", "JSON file with the list of VMs", cxxopts::value<std::string>())("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") || !parsed.count("listing")) {
        fmt::print("{}", options.help());
        return parsed.count("help") ? EXIT_SUCCESS : exitUsage;
    }
    auto listing = readListing(parsed["listing"].as<std::string>());
    if (!listing) {
        fmt::print(stderr, "can't read the list of VMs: {}\n", listing.error().detail);
        return exitUsage;
    }
    blockTerminationSignals();
    standins::platform_server_options server;
    server.address = parsed["address"].as<std::string>();
    server.port = parsed["port"].as<std::uint16_t>();
    standins::platform_server platform(server);
    platform.setListing(std::move(*listing));
    if (auto started = platform.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().detail);
        return exitUsage;
    }
    waitForTerminationSignal();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) { return runProgram("coriandermount-platform", &run, argc, argv); }
