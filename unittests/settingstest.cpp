#include <galenarack/core/errorkind.h>
#include <galenarack/node/settings.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

namespace {

RawSettings validSettings()
{
    RawSettings raw;
    raw.fleet = "fleet";
    raw.vm = "vm-1";
    raw.failureDomain = "kl-a";
    raw.callerAddress = "127.0.0.11:8080";
    raw.peerAddress = "127.0.0.11:8081";
    raw.operatorsAddress = "127.0.0.11:8082";
    raw.configService = "127.0.0.1:18500";
    raw.homeUpstreams = "donors-1=127.0.0.11:9001,donors-2=[::1]:9002";
    raw.peerSeeds = "vm-2=127.0.0.12,vm-3=127.0.0.13";
    raw.logLevel = "info";
    raw.drainTimeoutSeconds = 30;
    return raw;
}

/// Bounds of a deployment with all that a node uses.
constexpr const char *validBounds
    = "retry-budget-ratio=0.2,budget-slack=62,budget-window-s=10,grace-s=9,drain-ms=2000,config-apply-ms=2000,stable-window-ms=3000";

RawSettings validRegistrySettings()
{
    RawSettings raw = validSettings();
    raw.configService.clear();
    raw.registry = "127.0.0.1:18600";
    raw.bounds = validBounds;
    raw.homeUpstreams = "donors=127.0.0.11:9001";
    raw.peerSeeds.clear();
    raw.drainTimeoutSeconds.reset();
    return raw;
}

struct Case
{
    std::string RawSettings::*field;
    std::string value;
    const char *flag; ///< Flag that the error must name.
    const char *allowed; ///< Part of the allowed values in the error.
};

const std::vector<Case> &cases()
{
    const std::string tooLong(64, 'x');
    const char *name = "1 to 63 printable characters";
    const char *address = "IP:PORT with an IP address and a port from 1 to 65535";
    const char *portInUse = "an address that no other port of the node uses";
    static const std::vector<Case> table = {
        {&RawSettings::fleet, "", "fleet", name},
        {&RawSettings::fleet, "two words", "fleet", name},
        {&RawSettings::fleet, tooLong, "fleet", name},
        {&RawSettings::vm, "", "vm", "1 to 63 letters, digits or '-'"},
        {&RawSettings::vm, "vm.1", "vm", "1 to 63 letters, digits or '-'"},
        {&RawSettings::vm, tooLong, "vm", "1 to 63 letters, digits or '-'"},
        {&RawSettings::failureDomain, "", "failure_domain", name},
        {&RawSettings::callerAddress, "", "caller_address", address},
        {&RawSettings::callerAddress, "localhost:8080", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11:0", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11:65536", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11:80x", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11:", "caller_address", address},
        {&RawSettings::callerAddress, "127.0.0.11:8081", "caller_address", portInUse},
        {&RawSettings::peerAddress, "", "peer_address", address},
        {&RawSettings::peerListenAddress, "10.0.0.1", "peer_listen_address", address},
        {&RawSettings::peerListenAddress, "10.0.0.2:8081", "peer_listen_address", "no value without --registry"},
        {&RawSettings::peerAddress, "0.0.0.0:8081", "peer_address", "the address by which other nodes reach this one"},
        {&RawSettings::operatorsAddress, "", "operators_address", address},
        {&RawSettings::operatorsAddress, "127.0.0.11:8080", "operators_address", portInUse},
        {&RawSettings::operatorsAddress, "127.0.0.11:8081", "operators_address", portInUse},
        {&RawSettings::operatorsAddress, "0.0.0.0:8080", "operators_address", portInUse},
        {&RawSettings::configService, "", "config_service", address},
        {&RawSettings::configService, "127.0.0.11:8081", "config_service", portInUse},
        {&RawSettings::homeUpstreams, "donors-1", "home_upstreams", "NAME=IP:PORT"},
        {&RawSettings::homeUpstreams, "=127.0.0.11:9001", "home_upstreams", "NAME=IP:PORT"},
        {&RawSettings::homeUpstreams, "two words=127.0.0.11:9001", "home_upstreams", "NAME=IP:PORT"},
        {&RawSettings::homeUpstreams, "donors-1=127.0.0.11", "home_upstreams", "NAME=IP:PORT"},
        {&RawSettings::homeUpstreams, "a=127.0.0.11:9001,a=127.0.0.11:9002", "home_upstreams", "each name and address once"},
        {&RawSettings::homeUpstreams, "a=127.0.0.11:9001,b=127.0.0.11:9001", "home_upstreams", "each name and address once"},
        {&RawSettings::homeUpstreams, "a=127.0.0.11:8080", "home_upstreams", "an address that no port of the node uses"},
        {&RawSettings::peerSeeds, "vm-2", "peer_seeds", "VM=IP"},
        {&RawSettings::peerSeeds, "vm-2=127.0.0.12:8081", "peer_seeds", "VM=IP"},
        {&RawSettings::peerSeeds, "vm.2=127.0.0.12", "peer_seeds", "VM=IP"},
        {&RawSettings::peerSeeds, "vm-2=127.0.0.12,vm-2=127.0.0.13", "peer_seeds", "each VM once"},
        {&RawSettings::logLevel, "", "log_level", "debug, info, warn or error"},
        {&RawSettings::logLevel, "INFO", "log_level", "debug, info, warn or error"},
    };
    return table;
}

/// A setting that is valid by itself, and not in its mode.
struct ModeCase
{
    RawSettings (*makeValid)(); ///< Makes valid settings of the mode.
    void (*change)(RawSettings &raw); ///< Makes the settings invalid.
    const char *flag; ///< Flag that the error must name.
    const char *value; ///< Value of the flag in the error.
    const char *allowed; ///< Part of the allowed values in the error.
};

const std::vector<ModeCase> &modeCases()
{
    static const std::vector<ModeCase> table = {
        {&validSettings,
         [](RawSettings &raw) {
             raw.bounds = validBounds;
         },
         "bounds",
         validBounds,
         "no value without --registry"},
        {&validRegistrySettings,
         [](RawSettings &raw) {
             raw.bounds.clear();
         },
         "bounds",
         "",
         "the bounds of the deployment, which are required with --registry"},
        {&validRegistrySettings,
         [](RawSettings &raw) {
             raw.peerSeeds = "vm-2=127.0.0.12";
         },
         "peer_seeds",
         "vm-2=127.0.0.12",
         "no value with --registry"},
        {&validSettings,
         [](RawSettings &raw) {
             raw.memoryMb = 256;
         },
         "memory_mb",
         "256",
         "no value without --registry"},
        {&validRegistrySettings,
         [](RawSettings &raw) {
             raw.drainTimeoutSeconds = 30;
         },
         "drain_timeout_s",
         "30",
         "no value with --registry"},
    };
    return table;
}

void requireError(const RawSettings &raw, const std::string &flag, const std::string &value, const std::string &allowed)
{
    const auto settings = checkSettings(raw);
    CPPUNIT_ASSERT_MESSAGE("accepted: --" + flag + "=" + value, !settings.ok());
    CPPUNIT_ASSERT(errorKindOf(settings.status()) == ErrorKind::SettingInvalid);
    const std::string message = messageOf(settings.status());
    CPPUNIT_ASSERT_MESSAGE(message, message.starts_with("--" + flag + "="));
    CPPUNIT_ASSERT_MESSAGE(message, message.find(allowed) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(message, message.find('\n') == std::string::npos);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(validSettingsAreAccepted);
    CPPUNIT_TEST(errorsNameFlagValueAndAllowedValues);
    CPPUNIT_TEST(settingsOfTheOtherModeAreErrors);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(drainTimeoutIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a setting that is validated but not stored, or stored in the wrong member.
    void validSettingsAreAccepted()
    {
        const Settings settings = checkSettings(validSettings()).value();
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), settings.vm);
        CPPUNIT_ASSERT_EQUAL(std::string("kl-a"), settings.failureDomain);
        CPPUNIT_ASSERT_EQUAL(8082, int{settings.operatorsAddress.port()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.homeUpstreams.size());
        CPPUNIT_ASSERT(settings.homeUpstreams[1].address.address().is_v6());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.13"), settings.peerSeeds[1].address);
        CPPUNIT_ASSERT(settings.drainTimeout == std::chrono::seconds(30));
        RawSettings minimal = validSettings();
        minimal.homeUpstreams.clear();
        minimal.peerSeeds.clear();
        minimal.drainTimeoutSeconds.reset();
        minimal.callerAddress = "0.0.0.0:8080";
        CPPUNIT_ASSERT(checkSettings(minimal).ok());
        const Settings withRegistry = checkSettings(validRegistrySettings()).value();
        CPPUNIT_ASSERT_EQUAL(18600, int{withRegistry.registry.value().port()});
        CPPUNIT_ASSERT(withRegistry.bounds.terminationGrace == std::chrono::seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{256} * 1024 * 1024, withRegistry.memoryBytes);
        RawSettings withMemory = validRegistrySettings();
        withMemory.memoryMb = 512;
        CPPUNIT_ASSERT_EQUAL(std::size_t{512} * 1024 * 1024, checkSettings(withMemory)->memoryBytes);
    }

    /// Guards against a node that starts with an invalid setting, and against an error that names a flag with a valid value.
    void errorsNameFlagValueAndAllowedValues()
    {
        for (const Case &row : cases()) {
            RawSettings raw = validSettings();
            raw.*row.field = row.value;
            requireError(raw, row.flag, row.value, row.allowed);
        }
    }

    /// Guards against a node that accepts a setting and doesn't use it, or that takes defaults for settings of its deployment.
    void settingsOfTheOtherModeAreErrors()
    {
        for (const ModeCase &row : modeCases()) {
            RawSettings raw = row.makeValid();
            CPPUNIT_ASSERT_MESSAGE(row.flag, checkSettings(raw).ok());
            row.change(raw);
            requireError(raw, row.flag, row.value, row.allowed);
        }
    }

    /// Guards against a memory limit that leaves no room for any response, or that overflows.
    void memoryIsBounded()
    {
        for (const int megabytes : {0, -1, 31, 1'048'577}) {
            RawSettings raw = validSettings();
            raw.memoryMb = megabytes;
            requireError(raw, "memory_mb", std::to_string(megabytes), "32 to 1048576 MB");
        }
    }

    /// Guards against a drain time-out that ends the process at once after SIGTERM, or lets it run on indefinitely.
    void drainTimeoutIsBounded()
    {
        for (const int seconds : {0, -1, 3601}) {
            RawSettings raw = validSettings();
            raw.drainTimeoutSeconds = seconds;
            requireError(raw, "drain_timeout_s", std::to_string(seconds), "1 to 3600 seconds");
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
