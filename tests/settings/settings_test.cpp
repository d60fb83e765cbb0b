// Tests loading, validation and printing of settings.
#include <boost/test/unit_test.hpp>

#include "settings/settings.h"

using namespace coriandermount;

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(printed_defaults_can_be_loaded)
{
    const auto loaded = settings::parse(settings::print(settings::values {}), "settings.toml");
    BOOST_REQUIRE(loaded);
    BOOST_TEST(settings::print(*loaded) == settings::print(settings::values {}));
}

BOOST_AUTO_TEST_SUITE(is_rejected)

void expectProblem(std::string_view text, std::string_view detail)
{
    const auto loaded = settings::parse(text, "settings.toml");
    BOOST_REQUIRE(!loaded);
    BOOST_TEST(loaded.error().detail == detail);
}

BOOST_AUTO_TEST_CASE(for_an_unknown_name_with_a_suggestion)
{
    expectProblem("[peers]\nthreads = 3\n", "settings.toml:2: unknown setting peers.threads; did you mean listen.threads?");
}

BOOST_AUTO_TEST_CASE(for_a_wrong_type)
{
    expectProblem("[listen]\nport = \"x\"\n", "settings.toml:2: listen.port must be an integer");
}

BOOST_AUTO_TEST_CASE(for_a_number_out_of_range)
{
    expectProblem("[listen]\n\nthreads = 0\n", "settings.toml:3: listen.threads is 0, must be between 1 and 64 threads");
}

BOOST_AUTO_TEST_CASE(for_a_text_outside_its_choices)
{
    expectProblem("[log]\nlevel = \"loud\"\n", "settings.toml:2: log.level is \"loud\", must be one of debug|info|warning|error");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
