#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/operators/operatorserver.h>

#include <galenarackctl/nodeclient.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>

#include <sstream>
#include <thread>

DECLARE_string(nodes);

using namespace Galenarack;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const tcp::endpoint loopback(asio::ip::make_address("127.0.0.1"), 0);
constexpr std::string_view knownRequestId = "000000000000feed0000000000000007";

/// Data that the operators' port serves; a test changes it before the server starts.
struct FakeNode
{
    NodeStatus status;
    std::vector<UpstreamStatus> upstreams;
    AuditTrail audit;
    Metrics metrics;

    FakeNode()
    {
        this->status.fleet = "fleet";
        this->status.node = "vm-1";
        this->status.readiness = {true, ""};
        this->status.revision = 7;
        this->status.heardRevision = 7;
        this->status.members = {MemberStatus{"vm-2", "10.0.0.2", "kl-a", "live", "0a", 7, 12, false}};
        this->upstreams.emplace_back();
        this->upstreams[0].name = "licensing-1";
        this->upstreams[0].service = "licensing";
        this->upstreams[0].state = "serving";
        this->audit.append(MembershipChanged{"vm-2", "unknown", "live", "gossip"}, {});
    }

    OperatorSources sources()
    {
        OperatorSources sources;
        sources.metrics = [this] {
            return this->metrics.text();
        };
        sources.readiness = [this] {
            return this->status.readiness;
        };
        sources.status = [this] {
            return this->status;
        };
        sources.upstreams = [this] {
            return this->upstreams;
        };
        sources.audit = [this](std::uint64_t after) {
            return this->audit.page(after);
        };
        sources.outcome = [](RequestId id) -> asio::awaitable<OperatorReply> {
            const bool isKnown = id.toString() == knownRequestId;
            co_return OperatorReply{isKnown ? 200U : 404U, {{"execution", isKnown ? "ran" : "may-have-run"}, {"state", "finished"}}};
        };
        sources.explain = [](const ExplainQuery &query) {
            if (query.name == "throw") {
                throw std::runtime_error("explain failed");
            }
            const bool isKnown = query.subject == "route";
            return OperatorReply{isKnown ? 200U : 404U, {{"name", query.name}, {"parameters", query.parameters}}};
        };
        return sources;
    }
};

/// Runs an OperatorServer on its own thread.
class RunningServer
{
public:
    explicit RunningServer(FakeNode &node, OperatorLimits limits = {})
        : server(context, loopback, node.sources(), limits)
    {
        this->server.start();
        this->thread = std::thread([this] {
            this->context.run();
        });
    }
    ~RunningServer()
    {
        asio::post(this->context, [this] {
            this->server.stop();
        });
        this->thread.join();
    }
    tcp::endpoint endpoint() const
    {
        return this->server.localEndpoint();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->endpoint().port());
    }

private:
    asio::io_context context;
    OperatorServer server;
    std::thread thread;
};

/// Sends bytes and returns all that the server sends until it closes the connection.
std::string exchangeBytes(const tcp::endpoint &endpoint, const std::string &bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::string reply;
    asio::read(socket, asio::dynamic_buffer(reply), ignored);
    return reply;
}

std::string get(const tcp::endpoint &endpoint, const std::string &target, const std::string &method = "GET")
{
    return exchangeBytes(endpoint, method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

struct CommandResult
{
    ExitCode code;
    std::string out;
    std::string err;
};

CommandResult runCommand(std::string_view name, std::vector<std::string> arguments, const std::string &nodes, bool isJson = false)
{
    FLAGS_nodes = nodes;
    std::ostringstream out;
    std::ostringstream err;
    const auto command = std::ranges::find(commandTable(), name, &Command::name);
    const ExitCode code = command->run(CommandContext{std::move(arguments), isJson, out, err});
    return {code, out.str(), err.str()};
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class OperatorServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorServerTest);
    CPPUNIT_TEST(pathsReturnExpectedReplies);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(slowClientsAndManyConnectionsAreBounded);
    CPPUNIT_TEST(commandsPrintAndExit);
    CPPUNIT_TEST(statusReportsDifferences);
    CPPUNIT_TEST(invalidRepliesDoNotCrashTheTool);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a path that returns another status or body than monitoring expects.
    void pathsReturnExpectedReplies()
    {
        FakeNode node;
        node.status.readiness = {false, "draining"};
        const RunningServer server(node);
        struct Row
        {
            const char *target;
            const char *status;
            const char *part;
        };
        const Row rows[] = {
            {"/healthz", "200", "ok"},
            {"/readyz", "503", "draining"},
            {"/metrics", "200", "galenarack_config_revision "},
            {"/status", "200", "\"heard_revision\":7"},
            {"/upstreams", "200", "licensing-1"},
            {"/audit", "200", "\"kind\":\"membership\""},
            {"/audit?after=1", "200", "\"records\":[]"},
            {"/audit?after=18446744073709551615", "200", "\"missed\":0"},
            {"/audit?after=-1", "400", "invalid-request"},
            {"/outcome/000000000000feed0000000000000007", "200", "\"ran\""},
            {"/outcome/000000000000feed0000000000000008", "404", "may-have-run"},
            {"/outcome/7", "400", "32 hexadecimal"},
            {"/explain/route/claims%2Flodge?method=POST&x=%20",
             "200",
             "\"name\":\"claims/lodge\",\"parameters\":{\"method\":\"POST\",\"x\":\" \"}"},
            {"/explain/route/throw", "500", "explain failed"},
            {"/explain/route/%zz", "400", "malformed"},
            {"/other", "404", "route-not-found"},
        };
        for (const Row &row : rows) {
            const std::string reply = get(server.endpoint(), row.target);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.target) + ": " + reply,
                                   reply.starts_with("HTTP/1.1 " + std::string(row.status)) && contains(reply, row.part));
        }
        const std::string head = get(server.endpoint(), "/healthz", "HEAD");
        CPPUNIT_ASSERT(contains(head, "Content-Length: 3") && head.ends_with("\r\n\r\n"));
    }

    /// Guards against a malformed request that stops the server, or a request that changes the node's state.
    void malformedRequestsAreRefused()
    {
        FakeNode node;
        const RunningServer server(node);
        struct Row
        {
            std::string request;
            const char *status;
        };
        const Row rows[] = {
            {"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "405"},
            {"GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n", "431"},
            {"GET / HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
            {"GET / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "413"},
            {"nonsense\r\n\r\n", "400"},
        };
        for (const Row &row : rows) {
            const std::string reply = exchangeBytes(server.endpoint(), row.request);
            CPPUNIT_ASSERT_MESSAGE(row.request.substr(0, 40) + ": " + reply, reply.starts_with("HTTP/1.1 " + std::string(row.status)));
        }
        const std::string two = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        const std::string reply = exchangeBytes(server.endpoint(), two + "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(contains(reply, "ok\n") && contains(reply, "\"ready\":true"));
    }

    /// Guards against slow or idle clients that use up the connections, so that monitoring cannot connect.
    void slowClientsAndManyConnectionsAreBounded()
    {
        FakeNode node;
        OperatorLimits limits;
        limits.maxConnections = 2;
        limits.requestTimeout = std::chrono::milliseconds(200);
        limits.idleTimeout = std::chrono::milliseconds(200);
        const RunningServer server(node, limits);
        asio::io_context context;
        tcp::socket idle(context);
        tcp::socket slow(context);
        idle.connect(server.endpoint());
        slow.connect(server.endpoint());
        asio::write(slow, asio::buffer(std::string("GET /healthz")));
        CPPUNIT_ASSERT_EQUAL(std::string(), get(server.endpoint(), "/healthz"));
        std::string rest;
        boost::system::error_code ended;
        asio::read(idle, asio::dynamic_buffer(rest), ended);
        asio::read(slow, asio::dynamic_buffer(rest), ended);
        CPPUNIT_ASSERT_EQUAL(std::string(), rest);
        CPPUNIT_ASSERT(contains(get(server.endpoint(), "/healthz"), "200"));
    }

    /// Guards against a command that returns the wrong exit code or omits the text that scripts and operators rely on.
    void commandsPrintAndExit()
    {
        FakeNode node;
        const RunningServer server(node);
        const std::string up = server.address();
        const std::string down = up + ",127.0.0.1:1";
        const std::string id(knownRequestId);
        struct Row
        {
            const char *command;
            std::vector<std::string> arguments;
            std::string nodes;
            ExitCode code;
            const char *part; ///< Part of the standard output or the standard error.
        };
        const Row rows[] = {
            {"status", {}, up, ExitCode::Ok, "1 live"},
            {"status", {}, down, ExitCode::NoAnswer, "127.0.0.1:1 did not answer: connect: connection refused"},
            {"status", {}, "", ExitCode::Usage, "--nodes=IP:PORT,... is needed"},
            {"status", {}, "localhost:1", ExitCode::Usage, "'localhost:1' is not IP:PORT"},
            {"status", {"extra"}, up, ExitCode::Usage, "no arguments"},
            {"upstreams", {}, up, ExitCode::Ok, "licensing-1"},
            {"upstreams", {"other"}, up, ExitCode::Ok, "no upstreams"},
            {"explain", {"route", "/claims", "method=POST"}, up, ExitCode::Ok, "method: POST"},
            {"explain", {"route", "/claims", "method"}, up, ExitCode::Usage, "KEY=VALUE"},
            {"explain", {"account", "x"}, up, ExitCode::Findings, "name: x"},
            {"explain", {"account"}, up, ExitCode::Usage, "SUBJECT and NAME"},
            {"outcome", {id}, up, ExitCode::Ok, "ran"},
            {"outcome", {"000000000000feed0000000000000008"}, up, ExitCode::Findings, "may-have-run"},
            {"outcome", {"8"}, up, ExitCode::Usage, "32 hexadecimal"},
            {"audit", {}, up, ExitCode::Ok, "node vm-2, before unknown, after live, evidence gossip"},
            {"audit", {"x"}, up, ExitCode::Usage, "record number"},
        };
        for (const Row &row : rows) {
            const CommandResult result = runCommand(row.command, row.arguments, row.nodes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.command + result.err, static_cast<int>(row.code), static_cast<int>(result.code));
            CPPUNIT_ASSERT_MESSAGE(result.out + result.err, contains(result.out + result.err, row.part));
        }
        for (const char *command : {"status", "upstreams", "audit"}) {
            const auto list = nlohmann::json::parse(runCommand(command, {}, down, true).out);
            CPPUNIT_ASSERT_EQUAL(200, list.at(0).at("status").get<int>());
            CPPUNIT_ASSERT(!list.at(1).at("failure").get<std::string>().empty());
        }
    }

    /// Guards against a node that lags, is not ready or differs from the others without the status command reporting it.
    void statusReportsDifferences()
    {
        FakeNode current;
        FakeNode behind;
        behind.status.node = "vm-2";
        behind.status.revision = 6;
        behind.status.readiness = {false, "no document in force"};
        behind.status.heldBack = {HeldBackSection{"routes", "payments", "line 3"}};
        FakeNode divergent;
        divergent.status.digest = "other";
        divergent.status.fleet = "foreign";
        const RunningServer first(current);
        const RunningServer second(behind);
        const RunningServer third(divergent);
        const CommandResult result = runCommand("status", {}, first.address() + "," + second.address() + "," + third.address());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Findings), static_cast<int>(result.code));
        for (const char *part : {"vm-2: lags: revision 6 in force, 7 known",
                                 "vm-2: not ready: no document in force",
                                 "vm-2: section routes of payments is held back: line 3",
                                 "fleet 'foreign' differs",
                                 "digest differs"}) {
            CPPUNIT_ASSERT_MESSAGE(result.out, contains(result.out, part));
        }
    }

    /// Guards against a command that crashes on the reply of another program or of another release.
    void invalidRepliesDoNotCrashTheTool()
    {
        for (const char *body : {"", "no json", "[]", "7", "{\"node\":7}", "{\"records\":[7,{}],\"upstreams\":[7]}", "{\"members\":7}"}) {
            asio::io_context context;
            tcp::acceptor acceptor(context, loopback);
            const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            constexpr int commands = 5;
            std::thread server([&] {
                for (int i = 0; i < commands; ++i) {
                    tcp::socket socket = acceptor.accept();
                    std::string request;
                    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
                    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(body)));
                }
            });
            runCommand("status", {}, address);
            runCommand("upstreams", {}, address);
            runCommand("audit", {}, address);
            runCommand("explain", {"route", "x"}, address);
            CPPUNIT_ASSERT(runCommand("outcome", {std::string(knownRequestId)}, address).code != ExitCode::Ok);
            server.join();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorServerTest);
