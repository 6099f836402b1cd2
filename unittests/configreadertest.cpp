#include "configsupport.h"

#include <galenarack/config/configreader.h>
#include <galenarack/config/publication.h>
#include <galenarack/config/vmlistreader.h>
#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <optional>

using namespace Galenarack;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Minimal configuration service with values, watches and faults of individual keys. A watch waits 20 ms per second requested.
class TestService
{
public:
    explicit TestService(asio::io_context &context)
        : context(context)
        , acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    std::map<std::string, std::string> values; ///< Value by key.
    std::map<std::string, std::string> rawReplies; ///< Bytes sent in place of the response, by key; the connection is closed after them.
    std::map<std::string, unsigned> calls; ///< Number of calls by key.
    std::map<std::string, int> waiting; ///< Number of watches in progress by key.
    int maxWaiting = 0; ///< Highest value of `waiting`.
    bool frozen = false;

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(asTuple);
            if (error) {
                co_return;
            }
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> sleep(Duration time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asTuple);
    }

    asio::awaitable<void> serve(Tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::empty_body> request;
            const auto [error, read] = co_await http::async_read(socket, buffer, request, asTuple);
            if (error) {
                co_return;
            }
            const std::string target(request.target());
            const std::string key = target.substr(0, target.find('?')).substr(std::string("/v1/values/").size());
            ++this->calls[key];
            while (this->frozen) {
                co_await this->sleep(5ms);
            }
            const auto raw = this->rawReplies.find(key);
            if (raw != this->rawReplies.end()) {
                co_await asio::async_write(socket, asio::buffer(raw->second), asTuple);
                co_return;
            }
            http::response<http::string_body> response = co_await this->respond(key, target);
            co_await http::async_write(socket, response, asTuple);
        }
    }

    asio::awaitable<http::response<http::string_body>> respond(std::string key, std::string target)
    {
        const auto etagOf = [this](const std::string &of) {
            return sha256Hex(this->values[of]).substr(0, 8);
        };
        const auto after = target.find("after=");
        http::status status = http::status::ok;
        if (after != std::string::npos) {
            const std::string etag = target.substr(after + 6, 8);
            const TimePoint end = NodeClock::now() + 20ms * std::stoi(target.substr(target.find("wait=") + 5));
            this->maxWaiting = std::max(this->maxWaiting, ++this->waiting[key]);
            while (etagOf(key) == etag && NodeClock::now() < end) {
                co_await this->sleep(1ms);
            }
            --this->waiting[key];
            status = etagOf(key) == etag ? http::status::not_modified : http::status::ok;
        }
        status = this->values[key].empty() ? http::status::not_found : status;
        http::response<http::string_body> response(status, 11);
        response.set(http::field::etag, "\"" + etagOf(key) + "\"");
        if (status == http::status::ok) {
            response.body() = this->values[key];
        }
        response.prepare_payload();
        co_return response;
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
};

/// Readers of the manifest and the VM list with the gate and the service in one thread.
struct Rig
{
    Rig()
    {
        ServiceSettings settings;
        settings.host = "127.0.0.1";
        settings.port = this->service.port();
        settings.connectTimeout = 200ms;
        settings.replyTimeout = 200ms;
        settings.transferTimeout = 200ms;
        settings.watchWait = 30s;
        settings.retryMin = 10ms;
        settings.retryMax = 50ms;
        settings.startJitter = 5ms;
        settings.fetchSpread = 1ms;
        ConfigReaderCallbacks callbacks;
        callbacks.manifest = [this](std::string_view /*source*/, std::string_view json) {
            this->results.push_back(this->gate.offer(json, NodeClock::now()));
        };
        callbacks.service = [this](bool replied) {
            (replied ? this->replies : this->noReplies)++;
            this->revisionsAtReply.push_back(this->gate.revision());
        };
        callbacks.problem = [this](const absl::Status &problem) {
            this->problems.push_back(problem);
        };
        this->reader = std::make_shared<ConfigReader>(this->context.get_executor(), settings, this->cache, this->gate, callbacks, 7);
        this->vms = std::make_shared<VmListReader>(
            this->context.get_executor(),
            settings,
            [this](std::vector<VmEntry> list) {
                this->lists.push_back(std::move(list));
            },
            [this](const absl::Status &problem) {
                this->problems.push_back(problem);
            },
            8);
    }
    ~Rig()
    {
        this->reader->stop();
        this->vms->stop();
        this->context.run_for(20ms);
    }

    /// Runs until the condition holds or the time-out expires.
    /// @return whether the condition holds
    bool runUntil(const std::function<bool()> &condition, Duration timeout = 5s)
    {
        const TimePoint end = NodeClock::now() + timeout;
        while (!condition() && NodeClock::now() < end) {
            this->context.run_one_for(5ms);
        }
        return condition();
    }

    /// Publishes section texts on top of the last manifest. Without `complete`, the manifest is published without its new sections.
    void publish(std::uint64_t revision, const std::vector<std::pair<std::string, std::string>> &texts, bool complete = true)
    {
        std::vector<SectionChange> changes;
        for (const auto &[name, text] : texts) {
            changes.push_back({name, sha256Hex(text)});
            CPPUNIT_ASSERT(this->published.put(changes.back().digest, text).ok());
            if (complete) {
                this->service.values["section/" + changes.back().digest] = text;
            }
        }
        this->manifest = nextManifest("test", revision, this->manifest ? &*this->manifest : nullptr, changes, this->published);
        this->service.values["manifest"] = this->manifest->toJson();
    }

    /// Publishes revision 5, starts the reader and waits until the revision is in force and the next watch has begun.
    void startWithRevision5()
    {
        this->publish(5, {{"services", servicesText({1})}, {"u", upstreamsText("u", "s0", 3)}, {"routes", routesText({"s0"})}});
        this->reader->start();
        CPPUNIT_ASSERT(this->runUntil([this] {
            return this->gate.revision() == 5 && this->service.waiting["manifest"] == 1;
        }));
    }

    /// Runs until the gate or a reader reports an error of the kind.
    /// @return whether one was reported
    bool runUntilAlarm(ErrorKind kind)
    {
        return this->runUntil([this, kind] {
            const auto isKind = [kind](const absl::Status &status) {
                return !status.ok() && errorKindOf(status) == kind;
            };
            return std::ranges::any_of(this->problems, isKind) || std::ranges::any_of(this->results, isKind, &GateResult::status);
        });
    }

    asio::io_context context;
    TestService service{context};
    SectionCache cache;
    SectionCache published;
    RevisionGate gate{"test", cache};
    std::optional<Manifest> manifest;
    std::vector<GateResult> results;
    std::vector<absl::Status> problems;
    std::vector<std::vector<VmEntry>> lists;
    std::vector<std::uint64_t> revisionsAtReply; ///< Revision in force at each call of the service callback.
    int replies = 0;
    int noReplies = 0;
    std::shared_ptr<ConfigReader> reader;
    std::shared_ptr<VmListReader> vms;
};

/// Fault of the service while revision 5 is in force, and the alarm expected; none when the service does not reply.
struct FaultCase
{
    const char *what;
    std::function<void(Rig &)> begin;
    std::optional<ErrorKind> alarm;
    std::function<void(Rig &)> end;
};

const std::string newAccounts = sectionText("a", "accounts: [{name: x}]\n");
const std::string newKey = "section/" + sha256Hex(newAccounts);

std::string rawResponse(std::size_t length, std::size_t sent)
{
    return "HTTP/1.1 200 OK\r\nETag: \"raw\"\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, '#');
}

FaultCase rawCase(const char *what, const std::string &key, const std::string &bytes, ErrorKind alarm)
{
    return {what,
            [key, bytes](Rig &rig) {
                rig.service.rawReplies[key] = bytes;
                rig.publish(6, {{"a", newAccounts}});
            },
            alarm,
            [](Rig &rig) {
                rig.service.rawReplies.clear();
            }};
}

std::vector<FaultCase> faultCases()
{
    return {
        {"older revision",
         [](Rig &rig) {
             rig.publish(4, {{"a", newAccounts}});
         },
         ErrorKind::ConfigStale,
         {}},
        {"same revision with other content",
         [](Rig &rig) {
             rig.publish(5, {{"a", newAccounts}});
         },
         ErrorKind::ConfigInvalid,
         {}},
        {"malformed manifest",
         [](Rig &rig) {
             rig.service.values["manifest"] = "\x7f garbage";
         },
         ErrorKind::ConfigInvalid,
         {}},
        {"missing section value",
         [](Rig &rig) {
             rig.publish(6, {{"a", newAccounts}}, false);
         },
         ErrorKind::ConfigInvalid,
         [](Rig &rig) {
             rig.service.values[newKey] = newAccounts;
         }},
        {"section value with another digest",
         [](Rig &rig) {
             rig.publish(6, {{"a", newAccounts}}, false);
             rig.service.values[newKey] = "other";
         },
         ErrorKind::ConfigInvalid,
         [](Rig &rig) {
             rig.service.values[newKey] = newAccounts;
         }},
        rawCase("a section of more than 1 MB", newKey, rawResponse(1024 * 1024 + 1, 1024 * 1024 + 1), ErrorKind::PeerUnreachable),
        rawCase("a truncated section", newKey, rawResponse(100, 50), ErrorKind::PeerUnreachable),
        rawCase("a response that is not HTTP", newKey, "220 ready\r\n", ErrorKind::PeerUnreachable),
        rawCase("an endless header", newKey, "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x'), ErrorKind::PeerUnreachable),
        rawCase("an error status", newKey, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n", ErrorKind::ConfigInvalid),
        {"the service freezes",
         [](Rig &rig) {
             rig.service.frozen = true;
             rig.publish(6, {{"a", newAccounts}});
             CPPUNIT_ASSERT(rig.runUntil([&rig, noReplies = rig.noReplies] {
                 return rig.noReplies > noReplies || !rig.problems.empty();
             }));
         },
         std::nullopt,
         [](Rig &rig) {
             rig.service.frozen = false;
         }},
    };
}

} // namespace

class ConfigReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigReaderTest);
    CPPUNIT_TEST(serviceFaultsLeaveDocumentUnchanged);
    CPPUNIT_TEST(replyIsReportedAfterItsManifestIsInForce);
    CPPUNIT_TEST(callsAreLimitedToOneWatchAndChangedSections);
    CPPUNIT_TEST(peersReplaceTheService);
    CPPUNIT_TEST(vmListIsWatched);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fault of the service that changes the document in force, stops the reader or raises no alarm.
    void serviceFaultsLeaveDocumentUnchanged()
    {
        for (const FaultCase &row : faultCases()) {
            Rig rig;
            rig.startWithRevision5();
            const auto inForce = rig.gate.document();
            row.begin(rig);
            CPPUNIT_ASSERT_MESSAGE(row.what, !row.alarm || rig.runUntilAlarm(*row.alarm));
            rig.runUntil(
                [] {
                    return false;
                },
                50ms);
            CPPUNIT_ASSERT_MESSAGE(row.what, rig.gate.document() == inForce);
            if (row.end) {
                row.end(rig);
                CPPUNIT_ASSERT_MESSAGE(row.what, rig.runUntil([&rig] {
                    return rig.gate.revision() == 6;
                }));
            }
            rig.publish(9, {{"a", sectionText("a", "accounts: []\n")}});
            CPPUNIT_ASSERT_MESSAGE(row.what, rig.runUntil([&rig] {
                return rig.gate.revision() == 9;
            }));
        }
    }

    /// Guards against a node that starts serving with a peer's older revision while it fetches the sections of the service's revision.
    void replyIsReportedAfterItsManifestIsInForce()
    {
        Rig rig;
        rig.startWithRevision5();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, rig.revisionsAtReply.front());
    }

    /// Guards against calls beyond the rate limit of the service, about 2,000 calls a second for all 660 nodes together.
    void callsAreLimitedToOneWatchAndChangedSections()
    {
        Rig rig;
        rig.startWithRevision5();
        rig.vms->start();
        CPPUNIT_ASSERT_EQUAL(1U, rig.service.calls["manifest"] - 1);
        CPPUNIT_ASSERT(rig.runUntil([&rig] {
            return rig.reader->counters().notModified >= 2;
        }));
        // A watch of 24 to 30 s takes 480 to 600 ms with the test service.
        CPPUNIT_ASSERT(rig.service.calls["manifest"] <= 4);
        for (unsigned changed = 1; changed <= 2; ++changed) {
            CPPUNIT_ASSERT(rig.runUntil([&rig] {
                return rig.service.waiting["manifest"] == 1;
            }));
            const std::uint64_t before = rig.reader->counters().calls;
            const std::uint64_t revision = 5 + changed;
            std::vector<std::pair<std::string, std::string>> texts = {{"a", "# " + std::to_string(changed) + "\n" + newAccounts}};
            if (changed == 2) {
                texts.emplace_back("u", upstreamsText("u", "s0", 4));
            }
            rig.publish(revision, texts);
            CPPUNIT_ASSERT(rig.runUntil([&rig, revision] {
                return rig.gate.revision() == revision && rig.service.waiting["manifest"] == 1;
            }));
            CPPUNIT_ASSERT_EQUAL(before + 1 + changed, rig.reader->counters().calls);
        }
        CPPUNIT_ASSERT_EQUAL(1, rig.service.maxWaiting);
        CPPUNIT_ASSERT_EQUAL(0, rig.noReplies);
    }

    /// Guards against a node that does not get a new revision while the service does not respond, although a peer has it, and against a
    /// peer that hangs or sends other bytes.
    void peersReplaceTheService()
    {
        Rig rig;
        rig.service.frozen = true;
        rig.publish(5, {{"services", servicesText({1})}, {"u", upstreamsText("u", "s0", 3)}});
        rig.reader->start();
        const std::string json = rig.manifest->toJson();
        int fetched = 0;
        const ConfigReader::FetchSection hangs = [&rig](std::string /*digest*/) -> asio::awaitable<absl::StatusOr<std::string>> {
            asio::steady_timer timer(rig.context, 1h);
            co_await timer.async_wait(asTuple);
            co_return "";
        };
        const ConfigReader::FetchSection corrupts = [](std::string /*digest*/) -> asio::awaitable<absl::StatusOr<std::string>> {
            co_return "other";
        };
        const ConfigReader::FetchSection works = [&rig, &fetched](std::string digest) -> asio::awaitable<absl::StatusOr<std::string>> {
            ++fetched;
            co_return *rig.published.bytes(digest);
        };
        const auto hasProblem = [&rig](std::string_view text) {
            return std::ranges::any_of(rig.problems, [text](const absl::Status &problem) {
                return std::string(problem.message()).find(text) != std::string::npos;
            });
        };
        // Peers repeat their offers, as they do with each heartbeat.
        CPPUNIT_ASSERT(rig.runUntil([&] {
            rig.reader->offerFromPeer("a", json, hangs);
            return hasProblem("from a: section") && hasProblem("no reply in time");
        }));
        CPPUNIT_ASSERT(rig.runUntil([&] {
            rig.reader->offerFromPeer("b", json, corrupts);
            return hasProblem("from b: section") && hasProblem("the value has the SHA-256");
        }));
        CPPUNIT_ASSERT(rig.gate.document() == nullptr);
        CPPUNIT_ASSERT(rig.runUntil([&] {
            rig.reader->offerFromPeer("c", json, works);
            return rig.gate.revision() == 5;
        }));
        CPPUNIT_ASSERT_EQUAL(2, fetched);
        CPPUNIT_ASSERT_EQUAL(0, rig.replies);
    }

    /// Guards against a reader that stops or drops the valid VM list after one invalid value.
    void vmListIsWatched()
    {
        const std::string vm = R"({"name": "vm-1", "address": "127.0.0.11", "failure_domain": "kl-a", "state": "live"})";
        Rig rig;
        rig.service.values["vms"] = "[" + vm + "]";
        rig.vms->start();
        CPPUNIT_ASSERT(rig.runUntil([&rig] {
            return rig.lists.size() == 1;
        }));
        CPPUNIT_ASSERT(rig.lists.back() == std::vector<VmEntry>({{"vm-1", "127.0.0.11", "kl-a", VmState::Live}}));
        rig.service.values["vms"] = "[" + vm + "," + vm + "]";
        CPPUNIT_ASSERT(rig.runUntilAlarm(ErrorKind::ConfigInvalid) && rig.lists.size() == 1);
        rig.service.values["vms"] = "[" + vm.substr(0, vm.rfind("live")) + "leaving\"}]";
        CPPUNIT_ASSERT(rig.runUntil([&rig] {
            return rig.lists.size() == 2;
        }));
        CPPUNIT_ASSERT(rig.lists.back().front().state == VmState::Leaving);
        for (const char *bad : {"", "{}", "[1]", R"([{"name": "a", "address": "vm-1.local", "failure_domain": "d", "state": "live"}])"}) {
            CPPUNIT_ASSERT(!parseVmList(bad).ok());
        }
        CPPUNIT_ASSERT(parseVmList("[]")->empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReaderTest);
