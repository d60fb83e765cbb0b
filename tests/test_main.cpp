// Entry point shared by all test programs. Skips the tests that CORIANDERMOUNT_KNOWN_RED lists, one per line as PROGRAM PATH.
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

namespace {

using namespace boost::unit_test;

/// Returns the test case with the given path, such as `suite/nested/case`. Throws if there is none.
test_unit& testCaseAt(const std::string& path)
{
    test_unit* unit = &framework::master_test_suite();
    std::istringstream names(path);
    for (std::string name; std::getline(names, name, '/');) {
        const bool isSuite = unit->p_type == TUT_SUITE;
        const test_unit_id id = isSuite ? static_cast<test_suite*>(unit)->get(name) : INV_TEST_UNIT_ID;
        if (id == INV_TEST_UNIT_ID)
            throw framework::setup_error("KNOWN-RED.txt lists a test that does not exist: " + path);
        unit = &framework::get(id, TUT_ANY);
    }
    if (unit->p_type != TUT_CASE)
        throw framework::setup_error("KNOWN-RED.txt lists a suite instead of a test case: " + path);
    return *unit;
}

bool initialize()
{
    framework::master_test_suite().p_name.value = "coriandermount";
    const char* listed = std::getenv("CORIANDERMOUNT_KNOWN_RED");
    if (!listed)
        return true;
    const std::string program = std::filesystem::path(framework::master_test_suite().argv[0]).filename();
    std::istringstream lines(listed);
    for (std::string name, path; lines >> name >> path;) {
        if (name != program)
            continue;
        testCaseAt(path).p_default_status.value = test_unit::RS_DISABLED;
        std::cout << "skipped, listed in KNOWN-RED.txt: " << path << '\n';
    }
    return true;
}

} // namespace

int main(int argc, char* argv[]) { return unit_test_main(&initialize, argc, argv); }
