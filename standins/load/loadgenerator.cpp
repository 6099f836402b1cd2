#include "loadgenerator.h"

#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto drainCheckInterval = std::chrono::milliseconds(5);

/// Errors that leave the outcome uncertain; a resend with the same idempotency key can still obtain it.
constexpr std::array<std::string_view, 5> uncertainOutcomeErrors
    = {"key-home-unreachable", "outcome-unknown", "peer-lost", "peer-unreachable", "timeout"};

bool isRepeatable(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
}

} // namespace

LoadGenerator::LoadGenerator(asio::io_context &context, LoadSettings settings)
    : context(context)
    , settings(std::move(settings))
    , random(this->settings.seed)
{
    for (const Tcp::endpoint &target : this->settings.targets) {
        this->clients.emplace_back(context, target);
    }
}

asio::awaitable<void> LoadGenerator::run()
{
    asio::steady_timer timer(this->context);
    std::exponential_distribution<double> gap(this->settings.ratePerSecond);
    this->start = std::chrono::steady_clock::now();
    std::chrono::duration<double> offset(0.0);
    for (std::uint64_t number = 0; offset < this->settings.duration; ++number) {
        const Time scheduled = this->start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset);
        co_await sleepFor(timer, scheduled - std::chrono::steady_clock::now());
        asio::co_spawn(this->context, this->runRequest(number, scheduled), asio::detached);
        if (this->settings.poisson) {
            offset += std::chrono::duration<double>(gap(this->random));
        } else {
            // Adding up the gaps would accumulate rounding errors and could send one request too many.
            offset = std::chrono::duration<double>(static_cast<double>(number + 1) / this->settings.ratePerSecond);
        }
    }
    do {
        co_await sleepFor(timer, drainCheckInterval);
    } while (this->inFlight > 0);
    this->end = std::chrono::steady_clock::now();
}

nlohmann::json LoadGenerator::report(bool withLists) const
{
    return this->loadReport.toJson(this->end - this->start, withLists);
}

asio::awaitable<void> LoadGenerator::runRequest(std::uint64_t number, Time scheduled)
{
    ++this->inFlight;
    const ScopeGuard finished([this] {
        --this->inFlight;
    });
    Outcome outcome;
    Attempt last;
    if (this->inFlight > this->settings.maxInFlight) {
        last.error = "client-overloaded";
    } else {
        if (this->settings.issuedKeys) {
            outcome.key = co_await this->fetchKey(this->clients[number % this->clients.size()], this->pathOf(number));
        }
        if (this->settings.issuedKeys && outcome.key.empty()) {
            last.error = "no-key";
        } else {
            last = co_await this->attempt(this->clients[number % this->clients.size()], number, outcome.key);
        }
        asio::steady_timer timer(this->context);
        for (std::uint32_t resend = 1; resend <= this->settings.resends && this->mayResend(last, outcome.key); ++resend) {
            co_await sleepFor(timer, this->settings.resendDelay);
            this->loadReport.addResend();
            HttpClient &client = this->clients[(number + resend) % this->clients.size()];
            if (this->settings.issuedKeys && outcome.key.empty()) {
                outcome.key = co_await this->fetchKey(client, this->pathOf(number));
                if (outcome.key.empty()) {
                    continue;
                }
            }
            last = co_await this->attempt(client, number, outcome.key);
        }
    }
    const Time now = std::chrono::steady_clock::now();
    outcome.latency = now - scheduled;
    outcome.finishedAt = now - this->start;
    outcome.status = last.status;
    outcome.error = last.error;
    outcome.execution = last.execution;
    outcome.mismatched = last.mismatched;
    this->loadReport.add(outcome);
}

asio::awaitable<LoadGenerator::Attempt> LoadGenerator::attempt(HttpClient &client, std::uint64_t number, const std::string &key)
{
    Attempt attempt;
    HttpRequest request = this->makeRequest(number, key);
    const Exchange exchange = co_await client.exchange(std::move(request), this->settings.timeout);
    if (exchange.end != ExchangeEnd::Complete) {
        attempt.error = exchangeEndName(exchange.end);
        co_return attempt;
    }
    const HttpResponse &response = exchange.response;
    attempt.status = response.result_int();
    attempt.error = response["galenarack-error"];
    if (attempt.status >= 200 && attempt.status < 300) {
        attempt.mismatched = this->settings.checkToken && jsonStringMember(response.body(), "token") != this->tokenOf(number);
        co_return attempt;
    }
    attempt.execution = jsonStringMember(response.body(), "execution");
    if (attempt.error.empty()) {
        attempt.error = "status-" + std::to_string(attempt.status);
    }
    if (attempt.execution == "not-run") {
        this->loadReport.addNotRun(jsonStringMember(response.body(), "request_id"));
    }
    co_return attempt;
}

asio::awaitable<std::string> LoadGenerator::fetchKey(HttpClient &client, const std::string &path)
{
    HttpRequest request(http::verb::post, "/.galenarack/keys?path=" + path + "&method=" + this->settings.method, 11);
    if (!this->settings.account.empty()) {
        request.set(this->settings.accountHeader, this->settings.account);
    }
    const Exchange exchange = co_await client.exchange(std::move(request), this->settings.timeout);
    co_return exchange.end == ExchangeEnd::Complete ? jsonStringMember(exchange.response.body(), "key") : std::string();
}

HttpRequest LoadGenerator::makeRequest(std::uint64_t number, const std::string &key) const
{
    HttpRequest request;
    request.version(11);
    request.method_string(this->settings.method);
    request.target(this->pathOf(number));
    request.set("x-load-token", this->tokenOf(number));
    if (!this->settings.account.empty()) {
        request.set(this->settings.accountHeader, this->settings.account);
    }
    if (!key.empty()) {
        request.set("idempotency-key", key);
    }
    request.body() = std::string(this->settings.bodyBytes, 'b');
    return request;
}

const std::string &LoadGenerator::pathOf(std::uint64_t number) const
{
    return this->settings.paths[number % this->settings.paths.size()];
}

std::string LoadGenerator::tokenOf(std::uint64_t number) const
{
    return std::to_string(this->settings.seed) + "-" + std::to_string(number);
}

bool LoadGenerator::mayResend(const Attempt &attempt, const std::string &key) const
{
    if (attempt.execution == "not-run" || attempt.error == "no-key") {
        return true;
    }
    if (key.empty() && !isRepeatable(this->settings.method)) {
        return false;
    }
    return attempt.status == 0
           || std::find(uncertainOutcomeErrors.begin(), uncertainOutcomeErrors.end(), attempt.error) != uncertainOutcomeErrors.end();
}

} // namespace Galenarack::StandIns
