// The daemon of one entry VM on the users' platform.
#include <cstdlib>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "core/log.h"
#include "main/entry_node.h"
#include "main/signals.h"
#include "platform/boot_settings.h"

using namespace coriandermount;

namespace {

constexpr int exitSettings = 2;

/// Addresses, failure domain and bounds of a VM stay for its whole life; a change is told and taken up by the next start.
void reload(const platform::boot_settings& inForce)
{
    const auto settings = platform::loadBootSettings();
    if (!settings)
        writeLog(log_level::error, "node", "can't read the settings again", { { "detail", settings.error().detail } });
    else
        writeLog(log_level::info, "node", "reads the settings again",
            { { "outcome", *settings == inForce ? "unchanged" : "changed, in force with the next start" } });
}

int run(int argc, char** argv)
{
    cxxopts::Options options("coriandermount-entry", "Dispatches jobs of the users' platform from one entry VM.");
    options.add_options()("check-settings", "Check the settings that the platform wrote, and exit")("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        fmt::print("{}", options.help());
        return EXIT_SUCCESS;
    }
    setLogDescriptor(STDOUT_FILENO);
    const auto settings = platform::loadBootSettings();
    if (!settings) {
        writeLog(log_level::error, "node", "can't read the settings", { { "detail", settings.error().detail } });
        return exitSettings;
    }
    if (parsed.count("check-settings"))
        return EXIT_SUCCESS;
    blockTerminationSignals();
    entry_node node(*settings);
    if (auto started = node.start(); !started) {
        writeLog(log_level::error, "node", "can't start", { { "detail", started.error().detail } });
        return exitSettings;
    }
    waitForTerminationSignal([&settings] { reload(*settings); });
    node.shutDown();
    // Threads of libraries may wait for peers that never answer; nothing is left to be kept.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        writeLog(log_level::error, "node", "ends", { { "detail", problem.what() } });
        return exitSettings;
    }
}
