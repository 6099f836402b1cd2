#include "nodeclient.h"

#include <galenarack/core/clock.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/http/responsereader.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

DEFINE_string(nodes, "", "addresses of the operators' ports to query: IP:PORT,IP:PORT,...");

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(5);
/// Maximum size of a reply body. The status of 7,400 upstreams or 660 members is smaller than 3 MB.
constexpr std::size_t maxReplyBytes = 16 << 20;
constexpr std::size_t maxHeaderBytes = 8 * 1024;

bool isPort(std::string_view text)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value > 0 && value <= 65535;
}

absl::StatusOr<NodeAddress> parseNode(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    NodeAddress node;
    if (colon != std::string_view::npos) {
        node.host = text.substr(0, colon);
        node.port = text.substr(colon + 1);
    }
    if (node.host.starts_with('[') && node.host.ends_with(']')) {
        node.host = node.host.substr(1, node.host.size() - 2);
    }
    boost::system::error_code addressError;
    asio::ip::make_address(node.host, addressError);
    if (addressError || !isPort(node.port)) {
        return makeError(ErrorKind::SettingInvalid, "--nodes: '" + std::string(text) + "' is not IP:PORT");
    }
    return node;
}

/// Describes a failed step with the likely reason, which the error code alone does not show.
std::string failureText(std::string_view step, const boost::system::error_code &error)
{
    if (error == beast::error::timeout) {
        return std::string(step) + ": no response within 5 s; the node may be suspended or the network path interrupted";
    }
    if (error == asio::error::connection_refused) {
        return std::string(step) + ": connection refused; no process listens on this port";
    }
    return std::string(step) + ": " + error.message();
}

asio::awaitable<void> queryNode(const NodeAddress &node, std::string target, NodeReply &reply)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(requestTimeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(node.host), static_cast<std::uint16_t>(std::stoul(node.port)));
    const auto [connectError] = co_await stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (connectError) {
        reply.failure = failureText("connect", connectError);
        co_return;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, node.toString());
    request.keep_alive(false);
    const auto [writeError, written] = co_await http::async_write(stream, request, asio::as_tuple(asio::use_awaitable));
    beast::error_code error = writeError;
    ResponseReader reader(stream, {maxHeaderBytes, maxReplyBytes}, false);
    while (!error && !reader.isDone()) {
        error = co_await reader.readSome();
    }
    if (error) {
        reply.failure = failureText("request", error);
        co_return;
    }
    reply.status = reader.message().result_int();
    reply.body = nlohmann::ordered_json::parse(reader.message().body(), nullptr, false);
    if (reply.body.is_discarded()) {
        reply.body = nullptr;
        reply.failure = "the response is not JSON; check that the address is that of the operators' port";
    }
}

} // namespace

std::string NodeAddress::toString() const
{
    const bool isIpv6 = this->host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + this->host + "]" : this->host) + ":" + this->port;
}

absl::StatusOr<std::vector<NodeAddress>> parseNodes(std::string_view text)
{
    std::vector<NodeAddress> nodes;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const auto node = parseNode(text.substr(0, comma));
        if (!node.ok()) {
            return node.status();
        }
        nodes.push_back(*node);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    if (nodes.empty()) {
        return makeError(ErrorKind::SettingInvalid, "--nodes=IP:PORT,... is needed: the addresses of the operators' ports");
    }
    return nodes;
}

std::vector<NodeReply> queryNodes(std::span<const NodeAddress> nodes, std::string_view target)
{
    std::vector<NodeReply> replies(nodes.size());
    asio::io_context context;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        replies[i].node = nodes[i].toString();
        asio::co_spawn(context, queryNode(nodes[i], std::string(target), replies[i]), asio::detached);
    }
    context.run();
    return replies;
}

ExitCode queryConfiguredNodes(const CommandContext &context, std::string_view target, std::vector<NodeReply> &replies)
{
    const auto nodes = parseNodes(FLAGS_nodes);
    if (!nodes.ok()) {
        return usageError(context, std::string(nodes.status().message()));
    }
    replies = queryNodes(*nodes, target);
    ExitCode code = ExitCode::Ok;
    for (const NodeReply &reply : replies) {
        if (!reply.failure.empty()) {
            context.err << "galenarackctl: " << reply.node << " did not answer: " << reply.failure << '\n';
            code = ExitCode::NoAnswer;
        }
    }
    return code;
}

void printJson(const CommandContext &context, const std::vector<NodeReply> &replies)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const NodeReply &reply : replies) {
        list.push_back({{"node", reply.node}, {"status", reply.status}, {"failure", reply.failure}, {"body", reply.body}});
    }
    context.out << list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

ExitCode moreSevere(ExitCode first, ExitCode second)
{
    constexpr std::array order = {ExitCode::Ok, ExitCode::Findings, ExitCode::NoAnswer, ExitCode::Usage};
    return std::max(first, second, [&](ExitCode left, ExitCode right) {
        return std::ranges::find(order, left) < std::ranges::find(order, right);
    });
}

std::string cellText(const nlohmann::ordered_json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? std::string() : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string memberText(const nlohmann::ordered_json &value, const char *key)
{
    return value.is_object() && value.contains(key) ? cellText(value.at(key)) : std::string();
}

std::int64_t memberNumber(const nlohmann::ordered_json &value, const char *key)
{
    const bool isNumber = value.is_object() && value.contains(key) && value.at(key).is_number_integer();
    return isNumber ? value.at(key).get<std::int64_t>() : 0;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string out;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            out.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 0xf]);
    }
    return out;
}

} // namespace Galenarack
