#include "peers/rpc_framing.h"

#include <vector>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace coriandermount {
namespace peers {

    namespace {

        const char* const messageParameter = "message";
        /// Method name for calls of the client library that only parse a reply. A reply does not name its method, so any name
        /// works.
        const char* const placeholderMethod = "reply";

        /// Captures the request instead of sending it.
        class capturing_connector final : public jsonrpc::IClientConnector {
        public:
            void SendRPCMessage(const std::string& message, std::string&) throw(
                jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming)
            {
                captured = message;
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "captured");
            }

            std::string captured;
        };

        /// Returns a reply that was received earlier.
        class replaying_connector final : public jsonrpc::IClientConnector {
        public:
            explicit replaying_connector(const std::string& text)
                : m_text(text)
            {
            }

            void SendRPCMessage(const std::string&, std::string& reply) throw(
                jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming)
            {
                reply = m_text;
            }

        private:
            const std::string& m_text;
        };

        /// Records the decoded call and returns the result to frame.
        class call_recorder final : public jsonrpc::IProcedureInvokationHandler {
        public:
            void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                Json::Value& output) override // NOLINT(readability-identifier-naming)
            {
                method = procedure.GetProcedureName();
                message = input[messageParameter].asString();
                output = answer;
            }

            void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {
            } // NOLINT(readability-identifier-naming)

            std::string method;
            std::string message;
            std::string answer;
        };

        std::unique_ptr<jsonrpc::IProtocolHandler> makeHandler(call_recorder& recorder, const std::vector<std::string>& methods)
        {
            std::unique_ptr<jsonrpc::IProtocolHandler> handler(
                jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, recorder));
            for (const auto& method : methods) {
                handler->AddProcedure(jsonrpc::Procedure(
                    method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, messageParameter, jsonrpc::JSON_STRING, nullptr));
            }
            return handler;
        }

    } // namespace

    std::string frameRequest(const std::string& method, const std::string& message)
    {
        capturing_connector connector;
        jsonrpc::Client client(connector);
        Json::Value parameters;
        parameters[messageParameter] = message;
        try {
            client.CallMethod(method, parameters);
        } catch (const jsonrpc::JsonRpcException&) {
            // The connector always throws after capturing the request.
            return connector.captured;
        }
        return connector.captured;
    }

    parsed_frame parseReply(const std::string& text)
    {
        parsed_frame frame;
        replaying_connector connector(text);
        jsonrpc::Client client(connector);
        try {
            const Json::Value value = client.CallMethod(placeholderMethod, Json::Value(Json::objectValue));
            frame.message = value.asString();
            frame.valid = true;
        } catch (const std::exception& problem) {
            frame.problem = problem.what();
        }
        return frame;
    }

    struct rpc_endpoint::data {
        std::vector<std::string> methods;
    };

    rpc_endpoint::rpc_endpoint()
        : m_data(new data)
    {
    }

    rpc_endpoint::~rpc_endpoint() = default;

    void rpc_endpoint::addMethod(const std::string& method) { m_data->methods.push_back(method); }

    parsed_frame rpc_endpoint::parseRequest(const std::string& text) const
    {
        parsed_frame frame;
        call_recorder recorder;
        const auto handler = makeHandler(recorder, m_data->methods);
        std::string reply;
        handler->HandleRequest(text, reply);
        frame.valid = !recorder.method.empty();
        frame.method = recorder.method;
        frame.message = recorder.message;
        if (!frame.valid)
            frame.problem = reply;
        return frame;
    }

    std::string rpc_endpoint::frameReply(const std::string& text, const std::string& message) const
    {
        call_recorder recorder;
        recorder.answer = message;
        const auto handler = makeHandler(recorder, m_data->methods);
        std::string reply;
        handler->HandleRequest(text, reply);
        return reply;
    }

} // namespace peers
} // namespace coriandermount
