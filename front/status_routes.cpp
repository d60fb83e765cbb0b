#include "front/status_routes.h"

namespace coriandermount::front {

namespace {

    constexpr int statusOk = 200;

} // namespace

void addStatusRoutes(api& target, explain::status_service& source)
{
    target.addRoute("GET", "/v1/status", [&source](const auto&, const auto& responder) {
        responder->reply({ statusOk, "application/json", explain::encodeStatus(source.current()), {}, false });
    });
    target.addRoute("GET", "/status", [&source](const auto&, const auto& responder) {
        responder->reply({ statusOk, "text/html; charset=utf-8", explain::statusPage(source.current()), {}, false });
    });
}

} // namespace coriandermount::front
