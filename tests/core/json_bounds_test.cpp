// JSON texts are bounded before a document is built from them.
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/json_bounds.h"

using namespace coriandermount;

BOOST_AUTO_TEST_SUITE(json_bounds_of_a_text)

constexpr json_bounds bounds { .maxDepth = 2, .maxValues = 4 };

BOOST_AUTO_TEST_CASE(hold_for_what_is_inside_them)
{
    BOOST_TEST(isWithin(R"([{"a":1},{"b":2}])", bounds));
    BOOST_TEST(isWithin("", bounds));
    BOOST_TEST(isWithin("]]]]][", bounds));
}

// Guards against documents that exhaust the stack or the memory by their depth.
BOOST_AUTO_TEST_CASE(do_not_hold_for_deep_nesting) { BOOST_TEST(!isWithin("[{\"a\":[", bounds)); }

// Guards against documents that take many times the memory of their text.
BOOST_AUTO_TEST_CASE(do_not_hold_for_too_many_values) { BOOST_TEST(!isWithin("[1,2,3,4,5", bounds)); }

BOOST_AUTO_TEST_CASE(do_not_count_what_is_in_a_string)
{
    BOOST_TEST(isWithin(R"(["[[[[,,,,,\"[[[,,,\\"])", bounds));
    BOOST_TEST(isWithin("[\"unfinished\\", bounds));
    BOOST_TEST(!isWithin(R"(["\\",[[)", bounds));
}

BOOST_AUTO_TEST_SUITE_END()
