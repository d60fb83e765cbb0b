#include "peers/http_peers.h"

#include <map>

#include <fmt/format.h>

#include "peers/rpc_framing.h"

namespace coriandermount::peers {

namespace {

    constexpr int statusOk = 200;

} // namespace

http_peer_link::http_peer_link(net::http_client& client)
    : m_client(client)
{
}

void http_peer_link::call(const std::string& address, const std::string& method, std::string message,
    std::chrono::milliseconds timeout, completion done)
{
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/rpc", address);
    call.body = frameRequest(method, message);
    // A header without a value makes libcurl omit the one that it would add by default.
    call.headers = { "Content-Type:" };
    call.timeout = timeout;
    m_client.send(std::move(call), [done = std::move(done)](const tl::expected<net::http_reply, net::transport_error>& reply) {
        if (!reply) {
            done(tl::unexpected<net::transport_error>(reply.error()));
            return;
        }
        parsed_frame frame = parseReply(reply->body);
        if (reply->status == statusOk && frame.valid)
            done(std::move(frame.message));
        else
            done(tl::unexpected<net::transport_error>(
                net::transport_error { net::transport_progress::may_have_arrived, false, false, frame.problem }));
    });
}

struct http_peer_service::data {
    struct method_entry {
        watched_method_handler handler;
        bool watched = false;
    };

    rpc_endpoint endpoint;
    std::map<std::string, method_entry> methods;
    std::unique_ptr<net::http_server> server;

    void handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder) const;
};

void http_peer_service::data::handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder) const
{
    parsed_frame frame = endpoint.parseRequest(request.body);
    if (!frame.valid) {
        responder->reply({ statusOk, "", std::move(frame.problem), {}, false });
        return;
    }
    const method_entry& method = methods.at(frame.method);
    // The call may be old, as after a pause of this VM; its caller has taken it for lost.
    if (method.watched && responder->isDisconnected()) {
        responder->reply({ .dropConnection = true });
        return;
    }
    method.handler(
        frame.message,
        [this, text = request.body, responder](const std::string& message) {
            responder->reply({ statusOk, "", endpoint.frameReply(text, message), {}, false });
        },
        [responder](std::function<void()> callback) { responder->onDisconnect(std::move(callback)); });
}

http_peer_service::http_peer_service(net::http_server_options options)
    : m_data(std::make_unique<data>())
{
    m_data->server = std::make_unique<net::http_server>(
        std::move(options), [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            m_data->handle(request, responder);
        });
}

http_peer_service::~http_peer_service() { stop(); }

void http_peer_service::addMethod(const std::string& method, method_handler handler)
{
    m_data->endpoint.addMethod(method);
    m_data->methods[method] = { [handler = std::move(handler)](const std::string& message, reply_function reply,
                                    const disconnect_setter&) { handler(message, std::move(reply)); },
        false };
}

void http_peer_service::addWatchedMethod(const std::string& method, watched_method_handler handler)
{
    m_data->endpoint.addMethod(method);
    m_data->methods[method] = { std::move(handler), true };
}

void http_peer_service::checkDisconnects() { m_data->server->checkDisconnects(); }

result<void> http_peer_service::start() { return m_data->server->start(); }

void http_peer_service::stop() { m_data->server->stop(); }

std::uint16_t http_peer_service::port() const { return m_data->server->port(); }

} // namespace coriandermount::peers
