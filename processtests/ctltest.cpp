#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

/// Outcome of one run of galenarackctl.
struct CtlRun
{
    int exitCode = -1; ///< Exit status of the process.
    std::string output; ///< Combined standard output and standard error.
};

CtlRun runCtl(const std::string &arguments, const std::string &environment = "")
{
    const std::string command = environment + " '" GALENARACK_BINARY_DIR "/galenarackctl' " + arguments + " 2>&1";
    CtlRun run;
    FILE *pipe = popen(command.c_str(), "r");
    CPPUNIT_ASSERT(pipe != nullptr);
    std::array<char, 4096> buffer{};
    while (const std::size_t size = std::fread(buffer.data(), 1, buffer.size(), pipe)) {
        run.output.append(buffer.data(), size);
    }
    run.exitCode = WEXITSTATUS(pclose(pipe));
    return run;
}

std::string readFile(const fs::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

class CtlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CtlTest);
    CPPUNIT_TEST(exitCodesAndOutput);
    CPPUNIT_TEST(manifestBuildsOnPrevious);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string pattern = (fs::temp_directory_path() / "ctltestXXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        this->folder = pattern;
        std::ofstream(this->folder / "two.yaml")
            << "# A comment before the first section.\n---\nsection: a\nowner: o\npurpose: p\ncontact: c\n"
               "accounts:\n  - {name: x, rate_per_s: fast}\n--- \nsection: b\nowner: q\npurpose: p\n"
               "contact: c\nupstreams:\n  - {name: u, service: s, vm: v, failure_domain: d, slots: 1}\n";
    }
    void tearDown() override
    {
        fs::remove_all(this->folder);
    }

    /// Guards against an exit status that makes a script take invalid usage for a valid document, and against error messages
    /// without file, line and field.
    void exitCodesAndOutput()
    {
        const std::string invalidFile = (this->folder / "two.yaml").string();
        struct Case
        {
            std::string arguments;
            int exitCode;
            std::string output;
        };
        const std::vector<Case> cases
            = {{"check " + this->exampleFolder, 0, "ok: 6 sections"},
               {"check " + invalidFile, 1, invalidFile + ":8   a        o      rate_per_s  fast   not a number"},
               {"check " + invalidFile, 1, invalidFile + ":15  b        q      service     s      unknown service"},
               {"check --output json " + invalidFile, 1, "\"line\": 15,\n    \"field\": \"service\",\n    \"value\": \"s\""},
               {"check " + invalidFile + " " + invalidFile, 1, "the section is given twice"},
               {"check /nonexistent.yaml", 2, "cannot be read"},
               {"check", 2, "needs at least one file"},
               {"diff " + this->exampleFolder + " " + this->exampleFolder, 0, "no difference"},
               {"diff " + this->exampleFolder + " " + invalidFile, 1, "donors-1"},
               {"diff " + invalidFile, 2, "diff needs OLD and NEW"},
               {"manifest " + this->exampleFolder, 2, "--fleet is needed"},
               {"manifest --fleet f " + this->exampleFolder, 2, "--revision is needed"},
               {"manifest --fleet f --revision x " + this->exampleFolder, 2, "not a valid value: 'x'"},
               {"manifest --fleet f --revision 1 --output_dir " + this->folder.string() + " " + invalidFile, 1, "nothing is written"},
               {"check --color " + invalidFile, 2, "unknown flag --color"},
               {"check --fleet f " + this->exampleFolder, 2, "check does not use --fleet"},
               {"diff --nodes=127.0.0.1:1 " + this->exampleFolder + " " + this->exampleFolder, 2, "diff does not use --nodes"},
               {"trace --nodes 127.0.0.1:1 id " + invalidFile, 2, "trace does not use --nodes"},
               {"manifest --nodes=127.0.0.1:1 --fleet f --revision 1 " + invalidFile, 2, "manifest does not use --nodes"},
               {"status --revision 3", 2, "status does not use --revision"},
               {"check --output xml " + invalidFile, 2, "allowed: text or json"},
               {"chek", 2, "unknown command chek"},
               {"", 2, "a command is needed"},
               {"--help", 0, "check FILE..."}};
        for (const Case &row : cases) {
            const CtlRun run = runCtl(row.arguments);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.arguments + "\n" + run.output, row.exitCode, run.exitCode);
            CPPUNIT_ASSERT_MESSAGE(row.arguments + "\n" + run.output, run.output.find(row.output) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("[]\n"), runCtl("check " + this->exampleFolder, "GALENARACK_OUTPUT=json").output);
        CPPUNIT_ASSERT(!fs::exists(this->folder / "manifest"));
    }

    /// Guards against a manifest that drops sections of other teams or lists a wrong previous digest.
    void manifestBuildsOnPrevious()
    {
        const auto publish = [this](int revision, const std::string &arguments) {
            const fs::path before = this->folder / std::to_string(revision - 1) / "manifest";
            const std::string previous = revision > 1 ? " --previous " + before.string() : " --fleet claims";
            return runCtl("manifest --revision " + std::to_string(revision) + previous + " --output_dir "
                          + (this->folder / std::to_string(revision)).string() + " " + arguments);
        };
        const CtlRun first = publish(1, this->exampleFolder);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(first.output, 0, first.exitCode);
        CPPUNIT_ASSERT_EQUAL(first.output, readFile(this->folder / "1/manifest"));
        const fs::path accounts = this->folder / "accounts.yaml";
        std::ofstream(accounts) << readFile(this->exampleFolder + "/5-accounts.yaml") << "  - {name: new-charity}\n";
        const CtlRun second = publish(2, accounts.string());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(second.output, 0, second.exitCode);
        const auto before = nlohmann::json::parse(first.output);
        const auto after = nlohmann::json::parse(second.output);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, after["sections"].size());
        for (std::size_t i = 0; i < 6; ++i) {
            const auto &entry = after["sections"][i];
            CPPUNIT_ASSERT_EQUAL(before["sections"][i]["digest"].get<std::string>(), entry["previous"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(entry["name"] == "accounts", entry["digest"] != entry["previous"]);
            CPPUNIT_ASSERT(fs::exists(this->folder / "2/section" / entry["digest"].get<std::string>()));
        }
        const CtlRun repeated = publish(2, "--remove timings --revision 1");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(repeated.output, 2, repeated.exitCode);
        const CtlRun removed = publish(3, "--remove=timings");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(removed.output, 0, removed.exitCode);
        const CtlRun retired = publish(4, "--remove=upstreams-donors");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(retired.output, 1, retired.exitCode);
        CPPUNIT_ASSERT(retired.output.find("6 of 6") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, nlohmann::json::parse(publish(4, accounts.string()).output)["sections"].size());
    }

private:
    fs::path folder; ///< Temporary folder of the current test.
    std::string exampleFolder = GALENARACK_SOURCE_DIR "/docs/examples/claims"; ///< Folder with a valid document.
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);
