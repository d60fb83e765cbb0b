// Tests that the checker reports each kind of violation and reports none for a correct run.
#include <boost/test/unit_test.hpp>

#include "load/checker.h"

using namespace coriandermount;
using namespace coriandermount::load;

namespace {

wall_time at(int milliseconds) { return wall_time(std::chrono::milliseconds(milliseconds)); }

submission_record submission(int sent, int ended, outcome result)
{
    submission_record record;
    record.key = { { "kellari" }, "a", at(1) };
    record.taskCount = 2;
    record.node = "node-1";
    record.sentAt = at(sent);
    record.endedAt = at(ended);
    record.status = submission_status::answered;
    record.result = result;
    return record;
}

struct correct_run {
    correct_run()
    {
        run.submissions = { submission(10, 100, outcome::done) };
        run.starts = { { taskIdOf(run.submissions[0].key, 0), at(20) }, { taskIdOf(run.submissions[0].key, 1), at(25) } };
        run.versions = { { "node-1", "vm-1", at(1), 3 }, { "node-1", "vm-1", at(2), 4 } };
    }

    run_records run;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_checker, correct_run)

BOOST_AUTO_TEST_CASE(reports_no_violation_of_a_correct_run) { BOOST_TEST(checkRecords(run).violations() == 0U); }

BOOST_AUTO_TEST_SUITE(reports)

BOOST_FIXTURE_TEST_CASE(a_second_start, correct_run)
{
    run.starts.push_back(run.starts[0]);
    BOOST_TEST(checkRecords(run).doubleStarts == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_not_run_after_a_start, correct_run)
{
    run.submissions.push_back(submission(200, 210, outcome::not_run));
    BOOST_TEST(checkRecords(run).falseNotRun == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_not_run_of_the_only_submission_when_a_start_came_before_the_answer, correct_run)
{
    run.submissions = { submission(10, 100, outcome::not_run) };
    BOOST_TEST(checkRecords(run).falseNotRun == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_with_inconsistent_outputs, correct_run)
{
    run.submissions[0].outputsConsistent = false;
    BOOST_TEST(checkRecords(run).inconsistentAnswers == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_done_without_a_start, correct_run)
{
    run.starts.pop_back();
    BOOST_TEST(checkRecords(run).doneWithoutStart == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_configuration_version_that_decreased, correct_run)
{
    run.versions.push_back({ "node-1", "vm-1", at(3), 3 });
    BOOST_TEST(checkRecords(run).versionRegressions == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_lost_at_a_drained_node, correct_run)
{
    run.drainedNodes = { "node-1" };
    run.submissions.push_back(submission(200, 300, outcome::may_have_run));
    run.submissions.back().status = submission_status::lost;
    BOOST_TEST(checkRecords(run).lostAtDrainedNodes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(allows_an_answer_not_run_while_another_submission_of_the_job_is_in_progress, correct_run)
{
    run.submissions.push_back(submission(5, 90, outcome::not_run));
    BOOST_TEST(checkRecords(run).falseNotRun == 0U);
}

BOOST_FIXTURE_TEST_CASE(decodes_an_encoded_submission, correct_run)
{
    const auto record = decodeSubmission(encodeRecord(run.submissions[0]));
    BOOST_REQUIRE(record);
    BOOST_TEST((record->key == run.submissions[0].key));
    BOOST_TEST((record->result == outcome::done));
    BOOST_TEST(!decodeSubmission("{}"));
}

BOOST_AUTO_TEST_SUITE_END()
