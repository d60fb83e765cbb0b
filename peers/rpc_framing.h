/// JSON-RPC 2.0 framing by libjsonrpccpp, independent of the transport. Compiled as C++14, which that library's headers require.
#pragma once

#include <memory>
#include <string>

namespace coriandermount {
namespace peers {

    /// Returns the request that calls `method` with `message` as its only parameter.
    std::string frameRequest(const std::string& method, const std::string& message);

    /// Holds the content of a parsed request or reply.
    struct parsed_frame {
        bool valid = false;
        /// Name of the called method; empty for a reply.
        std::string method;
        std::string message;
        /// Error reply to send for an invalid request; description of the error for an invalid reply.
        std::string problem;
    };

    /// Parses the reply to a request of `frameRequest`.
    parsed_frame parseReply(const std::string& text);

    /// Parses requests and frames replies for a fixed set of methods.
    class rpc_endpoint {
    public:
        rpc_endpoint();
        ~rpc_endpoint();

        rpc_endpoint(const rpc_endpoint&) = delete;
        rpc_endpoint& operator=(const rpc_endpoint&) = delete;

        /// Adds a method that may be called. Must be called before the first request is parsed.
        void addMethod(const std::string& method);

        /// Parses a request. A request for an unknown method is invalid.
        parsed_frame parseRequest(const std::string& text) const;

        /// Returns the reply to the request `text`, which `parseRequest` must have found valid.
        std::string frameReply(const std::string& text, const std::string& message) const;

    private:
        struct data;
        std::unique_ptr<data> m_data;
    };

} // namespace peers
} // namespace coriandermount
