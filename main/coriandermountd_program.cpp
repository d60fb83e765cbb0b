// Daemon of the dispatcher; runs on each entry VM.
#include <cstdio>
#include <cstdlib>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "core/log.h"
#include "main/node.h"
#include "main/signals.h"

using namespace coriandermount;

namespace {

constexpr int exitSettings = 2;
constexpr int exitUnfinished = 3;

/// Returns the log level called `name`, or `info` if there is none.
log_level logLevelFromName(const std::string& name)
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    return name == "error" ? log_level::error : log_level::info;
}

int serve(const settings::values& settings)
{
    blockTerminationSignals();
    setLogLevel(logLevelFromName(settings.logLevel));
    node self(settings);
    if (auto started = self.start(); !started) {
        writeLog(log_level::error, "node", "node failed to start", { { "detail", started.error().detail } });
        return exitSettings;
    }
    waitForTerminationSignal();
    std::thread([] {
        waitForTerminationSignal();
        writeLog(log_level::error, "node", "node exited on a second termination signal with unfinished jobs");
        std::_Exit(exitUnfinished);
    }).detach();
    return self.shutDown() ? EXIT_SUCCESS : exitUnfinished;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("coriandermountd", "Dispatches sub-second tasks from one entry VM.");
    options.add_options()("settings", "TOML file with the settings", cxxopts::value<std::string>())(
        "check-settings", "Check the settings and exit")("print-settings", "Print the settings in force and exit")(
        "settings-reference", "Print the reference page of all settings and exit")("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        fmt::print("{}", options.help());
        return EXIT_SUCCESS;
    }
    if (parsed.count("settings-reference")) {
        fmt::print("{}", settings::referencePage());
        return EXIT_SUCCESS;
    }
    const auto loaded = parsed.count("settings") ? settings::load(parsed["settings"].as<std::string>())
                                                 : result<settings::values>(settings::values {});
    if (!loaded) {
        fmt::print(stderr, "{}\n", loaded.error().detail);
        return exitSettings;
    }
    if (parsed.count("check-settings"))
        return EXIT_SUCCESS;
    if (parsed.count("print-settings")) {
        fmt::print("{}", settings::print(*loaded));
        return EXIT_SUCCESS;
    }
    return serve(*loaded);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "coriandermountd: {}\n", problem.what());
        return exitSettings;
    }
}
