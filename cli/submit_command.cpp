#include <chrono>
#include <fstream>
#include <future>
#include <iterator>

#include <fmt/format.h>

#include "cli/node_client.h"
#include "cli/sample_job.h"
#include "front/job_codec.h"

namespace coriandermount::cli {

namespace {

    constexpr std::chrono::milliseconds responseMargin { 2000 };
    constexpr std::chrono::milliseconds progressInterval { 500 };

    void declare(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        options.add_options()("file", "JSON file with the job; - for standard input", cxxopts::value<std::string>())(
            "tasks", "Number of tasks of the sample job", cxxopts::value<unsigned>()->default_value("20"))(
            "run-ms", "Run time of each sample task, in ms", cxxopts::value<unsigned>()->default_value("50"))(
            "customer", "Customer of the sample job", cxxopts::value<std::string>()->default_value("demo"));
        options.parse_positional({ "file" });
        options.positional_help("[FILE]");
    }

    /// Returns the JSON text of the job: a sample job if no file is named.
    result<std::string> readJobText(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        if (!parsedOptions.count("file"))
            return front::encodeJob(makeSampleJob(parsedOptions["customer"].as<std::string>(),
                parsedOptions["tasks"].as<unsigned>(), std::chrono::milliseconds(parsedOptions["run-ms"].as<unsigned>())));
        const auto path = parsedOptions["file"].as<std::string>();
        if (path == "-")
            return terminal.readInput();
        std::ifstream file(path);
        if (!file)
            return fail(error_kind::malformed_request, fmt::format("cannot read {}", path));
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    /// Adds a job name and an issue time if the job has none. Text that is not a JSON object is returned as it is.
    std::string withDefaultKey(const std::string& text)
    {
        auto object = nlohmann::json::parse(text, nullptr, false);
        if (!object.is_object())
            return text;
        const auto now
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        if (!object.contains("issued_at_ms"))
            object["issued_at_ms"] = now.count();
        if (!object.contains("job"))
            object["job"] = fmt::format("job-{}", now.count());
        return object.dump();
    }

    void showProgress(
        console& terminal, std::future<tl::expected<net::http_reply, net::transport_error>>& answer, std::size_t tasks)
    {
        const auto start = std::chrono::steady_clock::now();
        bool shown = false;
        while (answer.wait_for(progressInterval) != std::future_status::ready) {
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
            terminal.err(fmt::format("\rwaiting for {} tasks, {:.1f} s ", tasks, elapsed.count()));
            shown = true;
        }
        if (shown)
            terminal.err("\r\033[K");
    }

    /// Prints the id under which the job may be submitted again without a second run, since the command may have made this id.
    void printIdForResubmission(const job_request& job, console& terminal)
    {
        terminal.err(
            fmt::format("to submit the job again without a second run, give it this id: \"job\": \"{}\", \"issued_at_ms\": {}\n",
                job.key.name, job.key.issuedAt.time_since_epoch().count()));
    }

    int printAnswer(const node_reply& reply, const job_request& job, node_client& node, console& terminal)
    {
        const std::string key
            = fmt::format("{}/{}/{}", job.key.customer.value, job.key.name, job.key.issuedAt.time_since_epoch().count());
        const auto answer = front::decodeAnswer(reply.body);
        if (!answer) {
            const int code = node.reportError(reply);
            printIdForResubmission(job, terminal);
            return code;
        }
        const int code = answer->result == outcome::done ? exit_done
            : answer->result == outcome::not_run         ? exit_refused
                                                         : exit_may_have_run;
        if (node.json()) {
            terminal.out(reply.body + "\n");
            return code;
        }
        std::size_t done = 0;
        for (const auto& task : answer->tasks)
            done += task.state == task_state::done ? 1 : 0;
        terminal.out(fmt::format("{}  {}  {} of {} tasks done\n", key, nameOf(answer->result), done, job.tasks.size()));
        if (answer->result == outcome::done)
            return code;
        if (reply.object.contains("problem"))
            node.reportError({ reply.status, reply.object.at("problem").dump(), reply.object.at("problem") });
        terminal.err(fmt::format("why: coriandermount explain {} --address {}\n", key, node.address()));
        return code;
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const auto text = readJobText(parsedOptions, terminal);
        if (!text) {
            terminal.err(text.error().detail + "\n");
            return exit_usage;
        }
        const std::string body = withDefaultKey(*text);
        const auto job = front::decodeJob(body);
        if (!job) {
            terminal.err(
                fmt::format("{}: {}\nsee docs/API.md for the format of a job\n", nameOf(job.error().kind), job.error().detail));
            return exit_usage;
        }
        node_client node(parsedOptions, terminal);
        std::promise<tl::expected<net::http_reply, net::transport_error>> promise;
        auto answer = promise.get_future();
        node.send("POST", "/v1/jobs", body, job->timeLimit + responseMargin,
            [&promise](tl::expected<net::http_reply, net::transport_error> reply) { promise.set_value(std::move(reply)); });
        if (terminal.isTerminal())
            showProgress(terminal, answer, job->tasks.size());
        const auto reply = answer.get();
        if (!reply) {
            const int code = node.reportTransportError(reply.error());
            printIdForResubmission(*job, terminal);
            return code;
        }
        return printAnswer(
            { reply->status, reply->body, nlohmann::json::parse(reply->body, nullptr, false) }, *job, node, terminal);
    }

} // namespace

const command& submitCommand()
{
    static const command entry { "submit", "Submit a job and wait for its answer.",
        "coriandermount submit job.json\n"
        "coriandermount submit - < job.json\n"
        "coriandermount submit --tasks 100 --run-ms 200    # a sample job\n"
        "coriandermount submit job.json --json | jq .outcome",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
