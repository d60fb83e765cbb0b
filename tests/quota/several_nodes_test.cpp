// Several nodes share the slots of their failure domain's workers over real sockets. If two nodes used the same slot, the worker
// would refuse a start.
#include <future>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "front/job_codec.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

using namespace coriandermount;

namespace {

constexpr unsigned nodes = 3;
constexpr unsigned workers = 2;
constexpr unsigned slotsPerWorker = 8;

embedded_fleet_options options()
{
    embedded_fleet_options options;
    options.nodesPerDomain = nodes;
    options.workersPerDomain = workers;
    options.slotsPerWorker = slotsPerWorker;
    return options;
}

struct node_fixture {
    node_fixture()
        : fleet(options())
    {
        BOOST_REQUIRE(fleet.start());
    }

    net::http_call submitJobCall(std::size_t entry, const std::string& name, std::size_t tasks)
    {
        job_request job;
        job.key
            = { { "kellari" }, name, std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()) };
        job.timeLimit = std::chrono::seconds(30);
        job.tasks.resize(tasks);
        for (auto& task : job.tasks) {
            task.service.value = "sleep";
            task.payload = "sleep:20";
        }
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/v1/jobs", fleet.entry(entry).port());
        call.body = front::encodeJob(job);
        call.timeout = std::chrono::seconds(40);
        return call;
    }

    /// Returns the number of starts that workers refused, over all nodes.
    std::size_t countRefusedStarts()
    {
        std::size_t refused = 0;
        for (std::size_t entry = 0; entry < nodes; ++entry) {
            net::http_call call;
            call.url = fmt::format("http://127.0.0.1:{}/metrics", fleet.entry(entry).port());
            const auto reply = client.sendAndWait(call);
            BOOST_REQUIRE(reply);
            for (std::size_t position = 0;
                 (position = reply->body.find("reason=\"worker_refused\"", position)) != std::string::npos; ++position) {
                const std::size_t valueStart = reply->body.find("} ", position);
                refused += std::stoul(reply->body.substr(valueStart + 2));
            }
        }
        return refused;
    }

    embedded_fleet fleet;
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slot_sharing_among_nodes, node_fixture)

BOOST_AUTO_TEST_CASE(completes_all_jobs_without_refused_starts)
{
    constexpr std::size_t largeJob = 200;
    constexpr std::size_t smallJob = 20;
    std::vector<std::promise<bool>> done(2 * nodes);
    for (std::size_t index = 0; index < done.size(); ++index) {
        const std::size_t entry = index % nodes;
        client.send(submitJobCall(entry, fmt::format("job-{}", index), entry == 0 ? largeJob : smallJob),
            [&promise = done[index]](const tl::expected<net::http_reply, net::transport_error>& reply) {
                const auto answer
                    = reply ? front::decodeAnswer(reply->body) : result<job_answer>(fail(error_kind::internal_error));
                promise.set_value(answer && answer->result == outcome::done);
            });
    }
    for (auto& promise : done)
        BOOST_TEST(promise.get_future().get());
    BOOST_TEST(countRefusedStarts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
