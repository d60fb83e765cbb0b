// The command line against a running node: what it prints, how it exits, and the pages made from it.
#include <fstream>
#include <iterator>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cli/command.h"
#include "cli/refusals_page.h"
#include "event_log/attribution.h"
#include "tests/fakes/fleet_caller.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

/// Console that keeps what is written.
class recorded_console final : public cli::console {
public:
    void out(std::string_view text) override { output += text; }
    void err(std::string_view text) override { problems += text; }
    bool isTerminal() const override { return terminal; }
    std::string readInput() override { return input; }

    std::string output;
    std::string problems;
    std::string input;
    bool terminal = false;
};

struct command_line {
    int run(const cli::arguments& words)
    {
        terminal.output.clear();
        terminal.problems.clear();
        return cli::runCommandLine(words, terminal);
    }

    bool printed(std::string_view text) const { return terminal.output.find(text) != std::string::npos; }
    bool complained(std::string_view text) const { return terminal.problems.find(text) != std::string::npos; }

    recorded_console terminal;
};

struct node_and_command_line : command_line {
    node_and_command_line()
        : fleet(fakes::smallFleet())
        , address(fmt::format("--address=127.0.0.1:{}", fleet.fleet().entry().port()))
    {
    }

    int ask(cli::arguments words)
    {
        words.push_back(address);
        return run(words);
    }

    fakes::fleet_caller fleet;
    std::string address;
};

std::string fileText(const std::string& path)
{
    std::ifstream file(std::string(CORIANDERMOUNT_SOURCE_FOLDER) + "/" + path);
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_command_line, command_line)

BOOST_AUTO_TEST_CASE(helps_with_each_command)
{
    BOOST_TEST(run({ "--help" }) == 0);
    const std::string overview = terminal.output;
    for (const auto& entry : cli::commands()) {
        BOOST_TEST_CONTEXT(entry.name)
        {
            BOOST_TEST(overview.find(entry.name) != std::string::npos);
            BOOST_TEST(run({ std::string(entry.name), "--help" }) == 0);
            BOOST_TEST(printed("Examples:"));
        }
    }
}

BOOST_AUTO_TEST_CASE(refuses_what_it_does_not_know)
{
    BOOST_TEST(run({}) == cli::exit_usage);
    BOOST_TEST(run({ "fly" }) == cli::exit_usage);
    BOOST_TEST(complained("--help"));
    BOOST_TEST(run({ "explain", "--fast" }) == cli::exit_usage);
    BOOST_TEST(run({ "explain", "kellari/job" }) == cli::exit_usage);
    BOOST_TEST(run({ "faults", "--since", "soon" }) == cli::exit_usage);
    BOOST_TEST(run({ "config", "shuffle" }) == cli::exit_usage);
    BOOST_TEST(run({ "submit", "/no/such/file" }) == cli::exit_usage);
}

BOOST_AUTO_TEST_CASE(says_what_to_do_when_no_node_answers)
{
    BOOST_TEST(run({ "status", "kellari/job/1", "--address=127.0.0.1:1" }) == cli::exit_unreachable);
    BOOST_TEST(complained("coriandermount dev --stay"));
}

BOOST_AUTO_TEST_CASE(completes_commands_options_and_words)
{
    BOOST_TEST(run({ "completion" }) == 0);
    BOOST_TEST(printed("complete -o default -F _coriandermount coriandermount"));
    BOOST_TEST(printed("faults) words=\"--address --help --json --since\""));
    BOOST_TEST(printed("publish history"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pages)

BOOST_AUTO_TEST_CASE(of_refusals_is_current)
{
    BOOST_TEST(fileText("docs/operations/refusals.md") == cli::refusalsPage(),
        "write it anew: coriandermount refusals --page > docs/operations/refusals.md");
}

BOOST_AUTO_TEST_CASE(of_attribution_has_the_current_table)
{
    BOOST_TEST(fileText("docs/design/attribution.md").find(event_log::attributionPage()) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_node)

BOOST_FIXTURE_TEST_CASE(submits_shows_and_explains_a_job, node_and_command_line)
{
    terminal.terminal = true;
    BOOST_TEST(ask({ "submit", "--tasks=3", "--run-ms=5" }) == 0);
    BOOST_TEST(printed("done  3 of 3 tasks done"));
    const std::string key = terminal.output.substr(0, terminal.output.find(' '));
    BOOST_TEST(ask({ "status", key }) == 0);
    BOOST_TEST(printed("3 done"));
    BOOST_TEST(ask({ "explain", key }) == 0);
    BOOST_TEST(printed("verdict  done"));
    BOOST_TEST(printed("claim"));
    BOOST_TEST(ask({ "explain", key, "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["outcome"] == "done");
}

BOOST_FIXTURE_TEST_CASE(reads_a_job_from_standard_input, node_and_command_line)
{
    terminal.input = R"({"customer":"demo","tasks":[{"service":"echo","payload":"hello"}]})";
    BOOST_TEST(ask({ "submit", "-", "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["tasks"][0]["output"] == "hello");
    terminal.input = R"({"customer":"demo"})";
    BOOST_TEST(ask({ "submit", "-" }) == cli::exit_usage);
}

BOOST_FIXTURE_TEST_CASE(tells_a_failed_job_from_a_refused_one, node_and_command_line)
{
    for (std::size_t index = 0; index < fleet.fleet().workerCount(); ++index)
        fleet.fleet().worker(index).setFaults({ .failAll = true });
    BOOST_TEST(ask({ "submit", "--tasks=1" }) == cli::exit_may_have_run);
    BOOST_TEST(complained("why: coriandermount explain"));
    terminal.input = R"({"customer":"demo","tasks":[{"service":"missing"}]})";
    BOOST_TEST(ask({ "submit", "-" }) == cli::exit_refused);
    BOOST_TEST(ask({ "faults" }) == 0);
    BOOST_TEST(printed("kind\ttask_failed"));
}

BOOST_FIXTURE_TEST_CASE(shows_fleet_status_and_views, node_and_command_line)
{
    terminal.terminal = true;
    BOOST_TEST(ask({ "fleet" }) == 0);
    BOOST_TEST(printed("worker-001"));
    BOOST_TEST(ask({ "top", "--count=1" }) == 0);
    BOOST_TEST(printed("arrivals"));
    BOOST_TEST(ask({ "fleet", "--json" }) == 0);
    BOOST_TEST(json::parse(terminal.output)["workers"].size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(publishes_a_configuration_and_tells_who_was_first, node_and_command_line)
{
    terminal.input = R"({"customers":{"demo":"basic"},"plans":{"basic":{"concurrent_tasks":40}}})";
    BOOST_TEST(ask({ "config", "publish", "-" }) == cli::exit_usage);
    BOOST_TEST(complained("--author"));
    BOOST_TEST(ask({ "config", "check", "-" }) == 0);
    BOOST_TEST(ask({ "config", "publish", "-", "--author=nikos", "--reason=first" }) == 0);
    BOOST_TEST(printed("is accepted"));
    BOOST_TEST(ask({ "config", "publish", "-", "--author=eleni", "--reason=second", "--based-on=0" }) == cli::exit_refused);
    BOOST_TEST(complained("publish_conflict"));
    BOOST_TEST(ask({ "config", "history", "--json" }) == 0);
    BOOST_TEST(printed("nikos"));
    terminal.input = R"({"customers":{"demo":"missing"},"plans":{}})";
    BOOST_TEST(ask({ "config", "check", "-" }) == cli::exit_refused);
    BOOST_TEST(printed("problem:"));
}

BOOST_FIXTURE_TEST_CASE(drains_a_vm, node_and_command_line)
{
    const std::string vm = json::parse(fleet.call("GET", "/v1/fleet").body.dump())["self"]["id"];
    BOOST_TEST(ask({ "drain", vm }) == 0);
    BOOST_TEST(ask({ "submit" }) == cli::exit_refused);
    BOOST_TEST(ask({ "drain", "entry-none" }) == cli::exit_refused);
}

BOOST_AUTO_TEST_SUITE_END()
