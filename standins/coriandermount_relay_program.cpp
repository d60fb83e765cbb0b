// Program that relays TCP connections between the processes of a test.
#include <cstdlib>
#include <fstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "main/program.h"
#include "main/signals.h"
#include "net/http_server.h"
#include "standins/relay.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

constexpr int statusBadRequest = 400;

std::vector<standins::relay_route> readRoutes(const std::string& path)
{
    std::ifstream file(path);
    std::vector<standins::relay_route> routes;
    for (const auto& entry : json::parse(file)) {
        routes.push_back({ entry.at("listen").get<std::string>(), entry.at("listen_port").get<std::uint16_t>(),
            entry.at("target").get<std::string>(), entry.at("target_port").get<std::uint16_t>() });
    }
    return routes;
}

/// Handles `POST /cuts`: replaces all blocked links by those of a list of pairs `[from, to]`. An empty list unblocks all links.
void setBlockedLinks(standins::relay& relay, const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    const json pairs = json::parse(request.body, nullptr, false);
    net::http_response response;
    if (!pairs.is_array()) {
        response.status = statusBadRequest;
        responder->reply(response);
        return;
    }
    relay.heal();
    for (const auto& pair : pairs)
        relay.blockLink(pair.at(0).get<std::string>(), pair.at(1).get<std::string>());
    responder->reply(response);
}

int run(int argc, char** argv)
{
    cxxopts::Options options(
        "coriandermount-relay", "Relays TCP connections between the processes of a test and blocks links between them.");
    options.add_options()("routes", "JSON file with the addresses to listen on and their targets", cxxopts::value<std::string>())(
        "port", "Port of the HTTP API that sets the blocked links", cxxopts::value<std::uint16_t>()->default_value("7499"))(
        "help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") || !parsed.count("routes")) {
        fmt::print("{}", options.help());
        return parsed.count("help") ? EXIT_SUCCESS : exitUsage;
    }
    blockTerminationSignals();
    standins::relay relay(readRoutes(parsed["routes"].as<std::string>()));
    if (auto started = relay.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().detail);
        return exitUsage;
    }
    net::http_server_options commands;
    commands.port = parsed["port"].as<std::uint16_t>();
    net::http_server server(
        commands, [&relay](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            setBlockedLinks(relay, request, responder);
        });
    if (auto started = server.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().detail);
        return exitUsage;
    }
    waitForTerminationSignal();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) { return runProgram("coriandermount-relay", &run, argc, argv); }
