#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/ids.h>
#include <galenarack/core/log.h>
#include <galenarack/operators/nodestatus.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// A JSON reply of the operators' port.
struct OperatorReply
{
    unsigned status = 200;
    nlohmann::ordered_json body;
};

/// Query of `/explain/SUBJECT/NAME?KEY=VALUE`.
struct ExplainQuery
{
    std::string subject; ///< E.g. "route", "upstream", "service" or "account".
    std::string name; ///< Rest of the path, decoded; may contain slashes.
    std::map<std::string, std::string, std::less<>> parameters; ///< Decoded query, e.g. "method".
};

/// Functions that supply the replies. All run on the thread of the io_context; the path of an unset function returns 404.
struct OperatorSources
{
    std::function<std::string()> metrics; ///< Prometheus text format.
    std::function<Readiness()> readiness;
    std::function<NodeStatus()> status;
    std::function<std::vector<UpstreamStatus>()> upstreams;
    std::function<nlohmann::ordered_json(std::uint64_t after)> audit; ///< AuditTrail::page().
    std::function<boost::asio::awaitable<OperatorReply>(RequestId)> outcome; ///< May query other nodes.
    std::function<OperatorReply(const ExplainQuery &)> explain;
};

/// Limits of the operators' port.
struct OperatorLimits
{
    unsigned maxConnections = 64;
    std::uint32_t maxHeaderBytes = 8192;
    Duration requestTimeout = std::chrono::seconds(5); ///< For one request and its reply, also to and from slow clients.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests on a connection.
};

/// HTTP server of the operators' port: `/metrics`, `/healthz`, `/readyz`, `/status`, `/upstreams`, `/audit?after=N`, `/outcome/ID` and
/// `/explain/SUBJECT/NAME`, all GET or HEAD over HTTP/1.1. `/healthz` returns 200 while the event loop runs.
class OperatorServer
{
public:
    /// Binds the address and listens.
    /// @throws boost::system::system_error when the address cannot be bound
    OperatorServer(boost::asio::io_context &context,
                   const boost::asio::ip::tcp::endpoint &local,
                   OperatorSources sources,
                   OperatorLimits limits = {});

    /// Starts accepting connections, until stop().
    void start();

    /// Closes the listener and all connections.
    void stop();

    /// @return the bound endpoint; its port was chosen by the system when 0 was requested
    boost::asio::ip::tcp::endpoint localEndpoint() const;

    /// @return number of open connections
    std::size_t connectionCount() const
    {
        return this->streams.size();
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Streams = std::list<boost::beast::tcp_stream>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serveConnection(Streams::iterator stream);
    boost::asio::awaitable<bool> serveRequest(boost::beast::tcp_stream &stream, std::string &buffer);
    boost::asio::awaitable<Response> reply(const Request &request) const;
    boost::asio::awaitable<Response> route(const Request &request) const;

    boost::asio::ip::tcp::acceptor acceptor;
    OperatorSources sources;
    OperatorLimits limits;
    Log log{"operators"};
    Streams streams;
    bool stopped = false;
};

} // namespace Galenarack
