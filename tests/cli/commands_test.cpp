// Tests the output and exit codes of the command line, with and without a running node, and that the generated pages are current.
#include <fstream>
#include <iterator>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cli/command.h"
#include "cli/refusals_page.h"
#include "event_log/attribution.h"
#include "net/http_server.h"
#include "tests/fakes/fleet_caller.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

/// Console that records what is written to it.
class recording_console final : public cli::console {
public:
    void out(std::string_view text) override { output += text; }
    void err(std::string_view text) override { errors += text; }
    bool isTerminal() const override { return terminal; }
    std::string readInput() override { return input; }

    std::string output;
    std::string errors;
    std::string input;
    bool terminal = false;
};

struct command_line {
    int run(const cli::arguments& words)
    {
        terminal.output.clear();
        terminal.errors.clear();
        return cli::runCommandLine(words, terminal);
    }

    bool outputContains(std::string_view text) const { return terminal.output.find(text) != std::string::npos; }
    bool errorsContain(std::string_view text) const { return terminal.errors.find(text) != std::string::npos; }

    recording_console terminal;
};

struct node_and_command_line : command_line {
    node_and_command_line()
        : fleet(fakes::smallFleetOptions())
        , address(fmt::format("--address=127.0.0.1:{}", fleet.fleet().entry().port()))
    {
    }

    int runOnNode(cli::arguments words)
    {
        words.push_back(address);
        return run(words);
    }

    fakes::fleet_caller fleet;
    std::string address;
};

/// A node that receives every submission and closes the connection without an answer.
struct silent_node_and_command_line : command_line {
    silent_node_and_command_line()
        : node({}, [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            received = json::parse(request.body);
            net::http_response response;
            response.dropConnection = true;
            responder->reply(response);
        })
    {
        BOOST_REQUIRE(node.start());
    }

    json received;
    net::http_server node;
};

std::string readSourceFile(const std::string& path)
{
    std::ifstream file(std::string(CORIANDERMOUNT_SOURCE_FOLDER) + "/" + path);
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_command_line, command_line)

BOOST_AUTO_TEST_CASE(prints_help_for_each_command)
{
    BOOST_TEST(run({ "--help" }) == 0);
    const std::string overview = terminal.output;
    for (const auto& entry : cli::commands()) {
        BOOST_TEST_CONTEXT(entry.name)
        {
            BOOST_TEST(overview.find(entry.name) != std::string::npos);
            BOOST_TEST(run({ std::string(entry.name), "--help" }) == 0);
            BOOST_TEST(outputContains("Examples:"));
        }
    }
}

BOOST_AUTO_TEST_CASE(rejects_invalid_arguments)
{
    BOOST_TEST(run({}) == cli::exit_usage);
    BOOST_TEST(run({ "fly" }) == cli::exit_usage);
    BOOST_TEST(errorsContain("--help"));
    BOOST_TEST(run({ "explain", "--fast" }) == cli::exit_usage);
    BOOST_TEST(run({ "explain", "kellari/job" }) == cli::exit_usage);
    BOOST_TEST(run({ "faults", "--since", "soon" }) == cli::exit_usage);
    BOOST_TEST(run({ "config", "shuffle" }) == cli::exit_usage);
    BOOST_TEST(run({ "submit", "/no/such/file" }) == cli::exit_usage);
}

BOOST_AUTO_TEST_CASE(suggests_a_next_step_if_the_node_is_unreachable)
{
    BOOST_TEST(run({ "status", "kellari/job/1", "--address=127.0.0.1:1" }) == cli::exit_unreachable);
    BOOST_TEST(errorsContain("coriandermount dev --stay"));
}

BOOST_AUTO_TEST_CASE(completes_commands_options_and_words)
{
    BOOST_TEST(run({ "completion" }) == 0);
    BOOST_TEST(outputContains("complete -o default -F _coriandermount coriandermount"));
    BOOST_TEST(outputContains("faults) words=\"--address --help --json --since\""));
    BOOST_TEST(outputContains("publish history"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(generated_pages)

BOOST_AUTO_TEST_CASE(refusals_page_is_current)
{
    BOOST_TEST(readSourceFile("docs/operations/refusals.md") == cli::refusalsPage(),
        "regenerate it: coriandermount refusals --page > docs/operations/refusals.md");
}

BOOST_AUTO_TEST_CASE(attribution_page_has_the_current_table)
{
    BOOST_TEST(readSourceFile("docs/design/attribution.md").find(event_log::attributionTableMarkdown()) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a second run of a job under a new id: the caller was told to use the same id, but not which id the command had
// made.
BOOST_FIXTURE_TEST_CASE(the_command_line_names_the_id_of_a_job_whose_answer_was_lost, silent_node_and_command_line)
{
    terminal.input = R"({"customer":"demo","tasks":[{"service":"echo","payload":"hello"}]})";
    BOOST_TEST(run({ "submit", "-", fmt::format("--address=127.0.0.1:{}", node.port()) }) == cli::exit_may_have_run);
    node.stop();
    BOOST_REQUIRE(received.contains("job"));
    BOOST_TEST(errorsContain(fmt::format(
        R"("job": "{}", "issued_at_ms": {})", received["job"].get<std::string>(), received["issued_at_ms"].get<std::int64_t>())));
}

BOOST_AUTO_TEST_SUITE(the_command_line_with_a_node)

BOOST_FIXTURE_TEST_CASE(submits_shows_and_explains_a_job, node_and_command_line)
{
    terminal.terminal = true;
    BOOST_TEST(runOnNode({ "submit", "--tasks=3", "--run-ms=5" }) == 0);
    BOOST_TEST(outputContains("done  3 of 3 tasks done"));
    const std::string key = terminal.output.substr(0, terminal.output.find(' '));
    BOOST_TEST(runOnNode({ "status", key }) == 0);
    BOOST_TEST(outputContains("3 done"));
    BOOST_TEST(runOnNode({ "explain", key }) == 0);
    BOOST_TEST(outputContains("verdict  done"));
    BOOST_TEST(outputContains("claim"));
    BOOST_TEST(runOnNode({ "explain", key, "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["outcome"] == "done");
}

BOOST_FIXTURE_TEST_CASE(reads_a_job_from_standard_input, node_and_command_line)
{
    terminal.input = R"({"customer":"demo","tasks":[{"service":"echo","payload":"hello"}]})";
    BOOST_TEST(runOnNode({ "submit", "-", "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["tasks"][0]["output"] == "hello");
    terminal.input = R"({"customer":"demo"})";
    BOOST_TEST(runOnNode({ "submit", "-" }) == cli::exit_usage);
}

BOOST_FIXTURE_TEST_CASE(has_different_exit_codes_for_failed_and_refused_jobs, node_and_command_line)
{
    for (std::size_t index = 0; index < fleet.fleet().workerCount(); ++index)
        fleet.fleet().worker(index).setFaults({ .failAll = true });
    BOOST_TEST(runOnNode({ "submit", "--tasks=1" }) == cli::exit_may_have_run);
    BOOST_TEST(errorsContain("why: coriandermount explain"));
    terminal.input = R"({"customer":"demo","tasks":[{"service":"missing"}]})";
    BOOST_TEST(runOnNode({ "submit", "-" }) == cli::exit_refused);
    BOOST_TEST(runOnNode({ "faults" }) == 0);
    BOOST_TEST(outputContains("kind\ttask_failed"));
}

BOOST_FIXTURE_TEST_CASE(shows_fleet_and_top, node_and_command_line)
{
    terminal.terminal = true;
    BOOST_TEST(runOnNode({ "fleet" }) == 0);
    BOOST_TEST(outputContains("worker-001"));
    BOOST_TEST(runOnNode({ "top", "--count=1" }) == 0);
    BOOST_TEST(outputContains("arrivals"));
    BOOST_TEST(runOnNode({ "fleet", "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["workers"].size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(publishes_a_configuration_and_reports_a_conflict, node_and_command_line)
{
    terminal.input = R"({"customers":{"demo":"basic"},"plans":{"basic":{"concurrent_tasks":40}}})";
    BOOST_TEST(runOnNode({ "config", "publish", "-" }) == cli::exit_usage);
    BOOST_TEST(errorsContain("--author"));
    BOOST_TEST(runOnNode({ "config", "check", "-" }) == 0);
    BOOST_TEST(runOnNode({ "config", "publish", "-", "--author=nikos", "--reason=first" }) == 0);
    BOOST_TEST(outputContains("was accepted"));
    BOOST_TEST(runOnNode({ "config", "publish", "-", "--author=eleni", "--reason=second", "--based-on=0" }) == cli::exit_refused);
    BOOST_TEST(errorsContain("publish_conflict"));
    BOOST_TEST(runOnNode({ "config", "history", "--json" }) == 0);
    BOOST_TEST(outputContains("nikos"));
    terminal.input = R"({"customers":{"demo":"missing"},"plans":{}})";
    BOOST_TEST(runOnNode({ "config", "check", "-" }) == cli::exit_refused);
    BOOST_TEST(outputContains("problem:"));
}

BOOST_FIXTURE_TEST_CASE(drains_a_vm, node_and_command_line)
{
    const std::string vm = json::parse(fleet.call("GET", "/v1/fleet").body.dump())["self"]["id"];
    BOOST_TEST(runOnNode({ "drain", vm }) == 0);
    BOOST_TEST(runOnNode({ "submit" }) == cli::exit_refused);
    BOOST_TEST(runOnNode({ "drain", "entry-none" }) == cli::exit_refused);
}

BOOST_AUTO_TEST_SUITE_END()
