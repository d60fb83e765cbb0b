#include "cli/node_client.h"

#include <fmt/format.h>

namespace coriandermount::cli {

namespace {

    /// Returns the recommended action for an error.
    std::string nextStep(const nlohmann::json& problem)
    {
        if (problem.contains("retry_after_ms"))
            return fmt::format("submit the request again in {} ms", problem.at("retry_after_ms").get<std::int64_t>());
        const auto outcome = problem.value("outcome", "");
        if (outcome == "may_have_run")
            return "the request may have been executed: see `coriandermount explain` before you submit the work under a new id";
        const auto party = problem.value("party", "");
        if (party == "operator")
            return "an operator has to act: see `coriandermount config history` and docs/operations/refusals.md";
        if (party == "caller")
            return "the caller has to act: correct the request as described in docs/operations/refusals.md";
        return problem.value("retryable", false) ? "retry, or use another node with --address"
                                                 : "see docs/operations/refusals.md";
    }

} // namespace

void declareNodeOptions(cxxopts::Options& options)
{
    options.add_options()("address", "Address of a node", cxxopts::value<std::string>()->default_value("127.0.0.1:7400"))(
        "json", "Print JSON");
}

node_client::node_client(const cxxopts::ParseResult& parsedOptions, console& terminal)
    : m_address(parsedOptions["address"].as<std::string>())
    , m_json(parsedOptions.count("json") > 0)
    , m_terminal(terminal)
{
}

net::http_call node_client::makeCall(
    const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout) const
{
    net::http_call call;
    call.method = method;
    call.url = fmt::format("http://{}{}", m_address, path);
    call.body = std::move(body);
    call.timeout = timeout;
    return call;
}

void node_client::send(const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout,
    net::http_completion done)
{
    m_client.send(makeCall(method, path, std::move(body), timeout), std::move(done));
}

tl::expected<node_reply, int> node_client::call(
    const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout)
{
    auto reply = m_client.sendAndWait(makeCall(method, path, std::move(body), timeout));
    if (!reply)
        return tl::unexpected<int>(reportTransportError(reply.error()));
    auto object = nlohmann::json::parse(reply->body, nullptr, false);
    if (object.is_discarded())
        object = nullptr;
    return node_reply { reply->status, std::move(reply->body), std::move(object) };
}

int node_client::reportTransportError(const net::transport_error& problem)
{
    m_terminal.err(fmt::format("no response from {}: {}\n", m_address, problem.message));
    if (problem.progress == net::transport_progress::not_sent) {
        m_terminal.err(
            "the request was not sent; start a node with `coriandermount dev --stay --port 7400`, or name one with --address\n");
        return exit_unreachable;
    }
    m_terminal.err("the request may have arrived: send it again with the same id, or see `coriandermount explain`\n");
    return exit_may_have_run;
}

int node_client::reportError(const node_reply& reply)
{
    if (m_json) {
        m_terminal.out(reply.body + "\n");
        return exitCodeOf(reply.object);
    }
    if (!reply.object.is_object() || !reply.object.contains("error")) {
        m_terminal.err(fmt::format("{} responded with HTTP status {}\n", m_address, reply.status));
        return exit_refused;
    }
    const auto& problem = reply.object;
    m_terminal.err(fmt::format(
        "{} ({}): {}\n", problem.at("error").get<std::string>(), problem.value("outcome", ""), problem.value("message", "")));
    if (const auto detail = problem.value("detail", ""); !detail.empty())
        m_terminal.err(fmt::format("  {}\n", detail));
    m_terminal.err(fmt::format("next: {}\n", nextStep(problem)));
    return exitCodeOf(problem);
}

int exitCodeOf(const nlohmann::json& errorObject)
{
    const bool known = errorObject.is_object() && errorObject.contains("outcome");
    return known && errorObject.at("outcome") == "may_have_run" ? exit_may_have_run : exit_refused;
}

} // namespace coriandermount::cli
