// Encodes and decodes the messages of the lease protocol.
#include <boost/test/unit_test.hpp>

#include "quota/codec.h"

using namespace coriandermount;
using namespace coriandermount::quota;

namespace {

const resource_id slot { resource_kind::slot, "worker-1" };
const resource_id tasks { resource_kind::concurrent_tasks, "plan" };

std::string reencode(const message& content)
{
    const auto decoded = decodeMessage(encodeMessage(content));
    return decoded ? encodeMessage(*decoded) : decoded.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quota_codec)

BOOST_AUTO_TEST_CASE(round_trips_every_message)
{
    const sync_request request { { "a" }, { "b" }, { "domain-1" }, { 7, 3 }, 9, true, { { slot, 4 } }, 11, true,
        { { 1, { { tasks, 2 } } } }, 5, true, { { anySlot, { 1, 2 } } } };
    const sync_reply reply { { "b" }, { "a" }, { 7, 3 }, 9, sync_status::accepted, { "b" }, "127.0.0.1:1", 12,
        std::chrono::milliseconds(3200), { { 2, { { slot, 1 } } } }, 1 };
    const recall_request order { { "b" }, { "a" }, { 7, 3 }, { { anySlot, 0 } } };
    for (const message& content : { message(request), message(reply), message(order) })
        BOOST_TEST(reencode(content) == encodeMessage(content));
    const auto decoded = decodeMessage(encodeMessage(order));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(std::get<recall_request>(*decoded).ceilings.contains(anySlot));
}

BOOST_AUTO_TEST_CASE(rejects_malformed_text)
{
    for (const char* text : { "", "{}", "[9]", "[0]", "[2,\"b\",\"a\",1,1,[[17,\"x\",1]]]", "[1,2,3]" })
        BOOST_TEST(!decodeMessage(text));
}

BOOST_AUTO_TEST_SUITE_END()
