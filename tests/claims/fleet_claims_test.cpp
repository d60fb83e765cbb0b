// Claims over several entry nodes on real sockets: a job that is submitted through more than one node is started once.
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "claims/issued_id.h"
#include "claims/view.h"
#include "front/job_codec.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

using namespace coriandermount;

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::seconds waitLimit { 30 };
constexpr std::chrono::milliseconds pollInterval { 20 };

struct several_nodes {
    explicit several_nodes(unsigned domains = 1)
        : fleet(options(domains))
    {
        BOOST_REQUIRE(fleet.start());
        waitUntilServing();
    }

    static embedded_fleet_options options(unsigned domains)
    {
        embedded_fleet_options options;
        options.domains = domains;
        options.nodesPerDomain = domains == 1 ? 3 : 2;
        return options;
    }

    net::http_reply post(std::size_t node, const std::string& path, const std::string& body)
    {
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}{}", fleet.entry(node).port(), path);
        call.body = body;
        call.timeout = waitLimit;
        return client.sendAndWait(call).value_or(net::http_reply {});
    }

    /// Returns a job id issued by a node; empty if the request failed.
    std::string issuedId(std::size_t node)
    {
        const auto reply = nlohmann::json::parse(post(node, "/v1/job-ids", R"({"count":1})").body, nullptr, false);
        return reply.is_object() && reply.contains("jobs") ? reply["jobs"][0].get<std::string>() : "";
    }

    bool issuesWithoutView(std::size_t node)
    {
        const auto id = claims::parseIssuedId(issuedId(node));
        return !id || id->isIssuerOnly();
    }

    /// Waits until every node votes in a view. The ids that a node issues then contain the number of the view.
    void waitUntilServing()
    {
        const auto limit = std::chrono::steady_clock::now() + waitLimit;
        for (std::size_t node = 0; node < fleet.nodeCount(); ++node) {
            while (issuesWithoutView(node) && std::chrono::steady_clock::now() < limit)
                std::this_thread::sleep_for(pollInterval);
        }
    }

    job_request job(const std::string& name, const std::string& service = "echo", const std::string& payload = "x") const
    {
        job_request request;
        const auto now = std::chrono::system_clock::now();
        request.key = { { "kellari" }, name, std::chrono::time_point_cast<std::chrono::milliseconds>(now) };
        request.timeLimit = std::chrono::seconds(10);
        request.tasks.emplace_back();
        request.tasks[0].service.value = service;
        request.tasks[0].payload = payload;
        return request;
    }

    /// Submits a job, and retries while no VM can decide on the claim.
    net::http_reply submit(std::size_t node, const job_request& request)
    {
        const auto limit = std::chrono::steady_clock::now() + waitLimit;
        net::http_reply reply;
        do {
            reply = post(node, "/v1/jobs", front::encodeJob(request));
        } while (reply.body.find("home_unreachable") != std::string::npos && std::chrono::steady_clock::now() < limit);
        return reply;
    }

    std::size_t startCount()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.workerCount(); ++index)
            count += fleet.worker(index).starts().size();
        return count;
    }

    void waitForStart()
    {
        const auto limit = std::chrono::steady_clock::now() + waitLimit;
        while (startCount() == 0 && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(pollInterval);
    }

    embedded_fleet fleet;
    net::http_client client;
};

struct two_domains : several_nodes {
    two_domains()
        : several_nodes(2)
    {
    }

    /// Returns a job whose id begins with `prefix` and whose home is the first failure domain.
    job_request jobOfFirstDomain(const std::string& prefix) const
    {
        const std::vector<failure_domain_id> domains { { "domain-1" }, { "domain-2" } };
        job_request request = job(prefix);
        for (int number = 0; claims::homeDomainOf(request.key, domains) != domains[0]; ++number)
            request.key.name = fmt::format("{}-{}", prefix, number);
        return request;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_job_submitted_through_several_nodes)

BOOST_FIXTURE_TEST_CASE(is_started_once_and_gets_the_same_answer, several_nodes)
{
    const auto request = job("same");
    const auto first = submit(0, request);
    BOOST_TEST(first.status == statusOk);
    for (std::size_t node = 1; node < fleet.nodeCount(); ++node)
        BOOST_TEST(submit(node, request).body == first.body);
    BOOST_TEST(startCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(concurrently_is_started_once_and_gets_the_same_answer, several_nodes)
{
    const auto request = job("at-once", "sleep", "200");
    std::vector<net::http_reply> replies(fleet.nodeCount());
    std::vector<std::thread> callers;
    for (std::size_t node = 0; node < replies.size(); ++node)
        callers.emplace_back([&, node] { replies[node] = submit(node, request); });
    for (auto& caller : callers)
        caller.join();
    for (const auto& reply : replies) {
        BOOST_TEST(reply.status == statusOk);
        BOOST_TEST(reply.body == replies[0].body);
    }
    BOOST_TEST(startCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(with_other_content_is_a_conflict_at_every_node, several_nodes)
{
    BOOST_TEST(submit(0, job("conflict")).status == statusOk);
    auto other = job("conflict");
    other.tasks[0].payload = "y";
    auto first = job("conflict-2");
    BOOST_TEST(submit(0, first).status == statusOk);
    first.tasks[0].payload = "y";
    first.contentDigest = 0;
    BOOST_TEST(submit(1, first).body.find("job_conflict") != std::string::npos);
    BOOST_TEST(startCount() == 2U);
}

BOOST_FIXTURE_TEST_CASE(under_an_issued_id_is_started_once, several_nodes)
{
    const auto request = job(issuedId(1));
    const auto first = submit(0, request);
    BOOST_TEST(first.status == statusOk);
    BOOST_TEST(submit(2, request).body == first.body);
    BOOST_TEST(startCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_not_started_again_after_its_runner_died, several_nodes)
{
    const auto request = job("runner-died", "sleep", "3000");
    std::thread caller([&] { post(0, "/v1/jobs", front::encodeJob(request)); });
    waitForStart();
    fleet.killNode(0);
    caller.join();
    const auto reply = submit(1, request);
    BOOST_TEST(reply.body.find("claim_owner_lost") != std::string::npos);
    BOOST_TEST(startCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_served_while_the_log_is_down_and_a_node_is_dead, several_nodes)
{
    standins::platform_faults faults;
    faults.logDown = true;
    fleet.platform().setFaults(faults);
    fleet.killNode(2);
    const auto request = job("log-down");
    const auto first = submit(0, request);
    BOOST_TEST(first.status == statusOk);
    BOOST_TEST(submit(1, request).body == first.body);
    BOOST_TEST(startCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_whose_home_is_another_domain)

BOOST_FIXTURE_TEST_CASE(is_started_once_through_both_domains, two_domains)
{
    const auto request = jobOfFirstDomain("both");
    const auto first = submit(2, request);
    BOOST_TEST(first.status == statusOk);
    BOOST_TEST(submit(0, request).body == first.body);
    BOOST_TEST(startCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_refused_during_a_partition_while_issued_ids_are_served, two_domains)
{
    fleet.partitionDomains(0, 1);
    const auto request = jobOfFirstDomain("cut");
    const auto refused = post(2, "/v1/jobs", front::encodeJob(request));
    BOOST_TEST(refused.body.find("home_unreachable") != std::string::npos);
    BOOST_TEST(startCount() == 0U);
    BOOST_TEST(submit(2, job(issuedId(2))).status == statusOk);
    BOOST_TEST(startCount() == 1U);
    fleet.heal();
    BOOST_TEST(submit(2, request).status == statusOk);
    BOOST_TEST(startCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
