#include <standins/common/network.h>

#include <galenarack/core/text.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <iostream>
#include <stdexcept>

namespace Galenarack::StandIns {

namespace asio = boost::asio;

Tcp::endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string_view portText = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    unsigned short port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code addressError;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), addressError);
    if (portText.empty() || error != std::errc() || end != portText.data() + portText.size() || addressError) {
        throw std::invalid_argument("not an address of the form IPv4:port: " + std::string(text));
    }
    return {address, port};
}

std::string endpointText(const Tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto [part, rest] = splitOnce(text, separator);
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text = rest;
    }
    return parts;
}

std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator)
{
    const auto at = text.find(separator);
    if (at == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

Target::Target(std::string_view target)
{
    const auto [path, query] = splitOnce(target, '?');
    this->path = percentDecoded(path);
    for (const std::string &pair : splitList(query, '&')) {
        const auto [name, value] = splitOnce(pair, '=');
        this->query[percentDecoded(name)] = percentDecoded(value);
    }
}

std::string Target::parameter(std::string_view name, std::string_view fallback) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string(fallback) : found->second;
}

HttpResponse makeResponse(const HttpRequest &request, unsigned status, std::string_view contentType, std::string body)
{
    HttpResponse response(static_cast<boost::beast::http::status>(status), request.version());
    response.keep_alive(request.keep_alive());
    response.set(boost::beast::http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::int64_t unixMilliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

asio::awaitable<void> sleepFor(asio::steady_timer &timer, std::chrono::steady_clock::duration duration)
{
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void announce(std::string_view line)
{
    std::cout << line << std::endl; // NOLINT(performance-avoid-endl): the parent waits for this line
}

} // namespace Galenarack::StandIns
