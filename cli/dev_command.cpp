#include <fmt/format.h>

#include "cli/command.h"
#include "cli/node_client.h"
#include "cli/sample_job.h"
#include "front/job_codec.h"
#include "main/embedded_fleet.h"
#include "main/signals.h"

namespace coriandermount::cli {

namespace {

    constexpr std::chrono::milliseconds responseMargin { 2000 };

    void declare(cxxopts::Options& options)
    {
        options.add_options()("port", "Port for callers; 0 lets the system choose",
            cxxopts::value<unsigned>()->default_value("0"))("workers", "Number of stand-in workers",
            cxxopts::value<unsigned>()->default_value("4"))("tasks", "Number of tasks of the sample job",
            cxxopts::value<unsigned>()->default_value("20"))("run-ms", "Run time of each sample task, in ms",
            cxxopts::value<unsigned>()->default_value("50"))("stay", "Keep the node running until SIGINT or SIGTERM");
    }

    int submitSample(std::uint16_t port, const job_request& job, console& terminal)
    {
        net::http_client client;
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/v1/jobs", port);
        call.body = front::encodeJob(job);
        call.timeout = job.timeLimit + responseMargin;
        const auto reply = client.sendAndWait(std::move(call));
        if (!reply) {
            terminal.err(fmt::format("no response: {}\n", reply.error().message));
            return exit_unreachable;
        }
        terminal.out(reply->body + "\n");
        const auto answer = front::decodeAnswer(reply->body);
        return answer && answer->result == outcome::done ? exit_done : exit_refused;
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        blockTerminationSignals();
        embedded_fleet_options options;
        options.workersPerDomain = parsedOptions["workers"].as<unsigned>();
        options.settings.listenPort = parsedOptions["port"].as<unsigned>();
        options.settings.peerPort = 0;
        embedded_fleet fleet(options);
        if (auto started = fleet.start(); !started) {
            terminal.err(started.error().detail + "\n");
            return exit_refused;
        }
        if (!parsedOptions.count("stay")) {
            return submitSample(fleet.entry().port(),
                makeSampleJob("demo", parsedOptions["tasks"].as<unsigned>(),
                    std::chrono::milliseconds(parsedOptions["run-ms"].as<unsigned>())),
                terminal);
        }
        terminal.out(fmt::format("serving on 127.0.0.1:{}\n", fleet.entry().port()));
        waitForTerminationSignal();
        return fleet.entry().shutDown() ? exit_done : exit_refused;
    }

} // namespace

const command& devCommand()
{
    static const command entry { "dev", "Run a node with stand-in workers and a sample job.",
        "coriandermount dev\n"
        "coriandermount dev --stay --port 7400    # until SIGINT",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
