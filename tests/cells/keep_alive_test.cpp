// Checks the encoding of keep-alives.
#include <boost/test/unit_test.hpp>

#include "cells/heartbeat.h"
#include "cells/keep_alive.h"

using namespace coriandermount;
using namespace coriandermount::cells;

BOOST_AUTO_TEST_SUITE(the_datagram_of_a_keep_alive)

BOOST_AUTO_TEST_CASE(holds_all_requests)
{
    const keep_alive sent { ~std::uint64_t { 0 }, { 7, 8, 300, std::uint64_t { 1 } << 40U } };
    const std::string datagram = encode(sent);
    BOOST_TEST(isKeepAlive(datagram));
    const auto received = decodeKeepAlive(datagram);
    BOOST_REQUIRE(received);
    BOOST_TEST(received->sender == sent.sender);
    BOOST_TEST((received->requests == sent.requests));
}

BOOST_AUTO_TEST_CASE(is_not_taken_for_a_heartbeat)
{
    BOOST_TEST(!decodeHeartbeat(encode(keep_alive { 1, { 2 } })));
    BOOST_TEST(!isKeepAlive(encode(heartbeat { { "vm" }, 1, false, true, {}, 0, {} })));
}

BOOST_AUTO_TEST_CASE(is_refused_if_it_is_malformed)
{
    const std::string datagram = encode(keep_alive { 1, { 2, 3 } });
    for (std::size_t length = 0; length < datagram.size(); ++length)
        BOOST_TEST(!decodeKeepAlive(datagram.substr(0, length)));
    BOOST_TEST(!decodeKeepAlive(encode(heartbeat { { "vm" }, 1, false, true, {}, 0, {} })));
    // An array of three elements with another name.
    BOOST_TEST(!decodeKeepAlive("\x93\xa1x\x01\x90"));
}

BOOST_AUTO_TEST_SUITE_END()
