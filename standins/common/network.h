#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Test doubles of the external systems that the fleet uses.
namespace Galenarack::StandIns {

using Tcp = boost::asio::ip::tcp;
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// @param text "IPv4:port"
/// @throws std::invalid_argument if `text` has another form
Tcp::endpoint parseEndpoint(std::string_view text);

/// @return "IPv4:port"
std::string endpointText(const Tcp::endpoint &endpoint);

/// Splits a list at each `separator`; empty parts are omitted.
std::vector<std::string> splitList(std::string_view text, char separator);

/// Splits at the first `separator`; the second part is empty if there is none.
std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator);

/// Path and query of an HTTP request target.
struct Target
{
    std::string path; ///< Percent-decoded path.
    std::map<std::string, std::string, std::less<>> query; ///< Percent-decoded query parameters by name.

    explicit Target(std::string_view target);

    /// @return the value of a query parameter, or `fallback` if it is absent
    std::string parameter(std::string_view name, std::string_view fallback = {}) const;
};

/// @return a response to `request` with the same keep-alive setting and a Content-Length
HttpResponse makeResponse(const HttpRequest &request, unsigned status, std::string_view contentType, std::string body);

/// @return milliseconds since the Unix epoch by the system clock
std::int64_t unixMilliseconds();

/// Waits for `duration`; returns early without an error if the timer is cancelled.
boost::asio::awaitable<void> sleepFor(boost::asio::steady_timer &timer, std::chrono::steady_clock::duration duration);

/// Prints one line to standard output and flushes it, so that a parent process can wait for it.
void announce(std::string_view line);

} // namespace Galenarack::StandIns
