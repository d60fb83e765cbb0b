// Daemon of one entry VM on the users' platform.
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

/// Exit status for invalid settings and for exceptions.
constexpr int exitFailed = 2;

/// Re-reads the settings and logs whether they changed. Addresses, failure domain and bounds are fixed while the process runs, so
/// that a change takes effect at the next start.
void checkForChangedSettings(const platform::boot_settings& current)
{
    const auto settings = platform::loadBootSettings();
    if (!settings)
        writeLog(log_level::error, "node", "failed to re-read the settings", { { "detail", settings.error().detail } });
    else
        writeLog(log_level::info, "node", "re-read the settings",
            { { "outcome", *settings == current ? "unchanged" : "changed, takes effect at the next start" } });
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
        writeLog(log_level::error, "node", "failed to load the settings", { { "detail", settings.error().detail } });
        return exitFailed;
    }
    if (parsed.count("check-settings"))
        return EXIT_SUCCESS;
    blockTerminationSignals();
    entry_node node(*settings);
    if (auto started = node.start(); !started) {
        writeLog(log_level::error, "node", "failed to start", { { "detail", started.error().detail } });
        return exitFailed;
    }
    waitForTerminationSignal([&settings] { checkForChangedSettings(*settings); });
    node.shutDown();
    // Skips destructors: threads of libraries may wait for peers that never answer, and no state is left to save.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        writeLog(log_level::error, "node", "terminated by an exception", { { "detail", problem.what() } });
        return exitFailed;
    }
}
