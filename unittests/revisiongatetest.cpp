#include "configsupport.h"

#include <galenarack/config/publication.h>
#include <galenarack/config/revisiongate.h>
#include <galenarack/config/startrule.h>
#include <galenarack/core/errorkind.h>

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>

using namespace Galenarack;

namespace {

constexpr TimePoint start{};

/// Publishes revisions and keeps all section values and manifests published so far.
struct Publisher
{
    SectionCache values;
    std::vector<Manifest> manifests;

    /// Publishes section texts on top of the last revision; an empty text removes the section.
    const Manifest &publish(const std::vector<std::pair<std::string, std::string>> &texts)
    {
        std::vector<SectionChange> changes;
        for (const auto &[name, text] : texts) {
            changes.push_back({name, text.empty() ? std::string() : sha256Hex(text)});
            CPPUNIT_ASSERT(text.empty() || this->values.put(changes.back().digest, text).ok());
        }
        const Manifest *base = this->manifests.empty() ? nullptr : &this->manifests.back();
        this->manifests.push_back(nextManifest("test", this->manifests.size() + 1, base, changes, this->values));
        return this->manifests.back();
    }
};

/// A node with the gate or, for comparison, one that puts each complete and valid manifest in force in the order of arrival.
struct TestNode
{
    explicit TestNode(bool hasGate)
        : hasGate(hasGate)
    {
    }

    SectionCache cache;
    RevisionGate gate{"test", cache};
    bool hasGate;
    std::shared_ptr<const Document> withoutGate;
    std::string manifestWithoutGate;

    void offer(const std::string &manifest)
    {
        if (this->hasGate) {
            this->gate.offer(manifest, start);
        } else if (const auto parsed = Manifest::parse(manifest); this->cache.missing(parsed->allDigests()).empty()) {
            if (const Acceptance acceptance = acceptRevision(*parsed, this->cache); acceptance.document != nullptr) {
                this->withoutGate = acceptance.document;
                this->manifestWithoutGate = manifest;
            }
        }
    }
    std::shared_ptr<const Document> document() const
    {
        return this->hasGate ? this->gate.document() : this->withoutGate;
    }
    std::string manifest() const
    {
        return this->hasGate ? this->gate.manifestBytes() : this->manifestWithoutGate;
    }
    void copySections(const std::string &manifest, const SectionCache &from)
    {
        for (const std::string &digest : Manifest::parse(manifest)->allDigests()) {
            if (const auto bytes = from.bytes(digest); bytes != nullptr) {
                CPPUNIT_ASSERT(this->cache.put(digest, *bytes).ok());
            }
        }
    }
};

/// Random event: publication of a change, delivery to a node, or restart of a node.
struct Event
{
    unsigned kind; ///< 0 publication, 1 manifest alone, 2 manifest and sections, 3 one section, 4 offer from a peer, 5 restart
    unsigned node;
    unsigned choice;
    unsigned variant;
};

rc::Gen<std::vector<Event>> eventsGen()
{
    return rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(rc::gen::set(&Event::kind, rc::gen::inRange(0U, 6U)),
                                                                        rc::gen::set(&Event::node, rc::gen::inRange(0U, 3U)),
                                                                        rc::gen::set(&Event::choice, rc::gen::inRange(0U, 1000U)),
                                                                        rc::gen::set(&Event::variant, rc::gen::inRange(0U, 1000U))));
}

/// @return the name and a valid or invalid text of a test section
std::pair<std::string, std::string> contentOf(unsigned choice, unsigned variant)
{
    switch (choice % 4) {
    case 0:
        return {"services", variant % 4 == 3 ? "{" : servicesText({variant % 5, 1})};
    case 1:
        return {"u", upstreamsText("u", variant % 7 == 6 ? "unknown" : "s0", 4 + variant % 6, variant % 4)};
    case 2:
        return {"routes",
                variant % 5 == 0 ? routesText({"s0", "s0"}) : routesText({"s0"}, ", deadline_ms: " + std::to_string(100 + variant))};
    default:
        return {"a", variant % 3 == 0 ? "" : sectionText("a", "accounts: [{name: x" + std::to_string(variant % 5) + "}]\n")};
    }
}

/// Runs the events on three nodes.
/// @return the violation, i.e. a lower revision or one revision with two documents; empty when there is none
std::string violationOf(const std::vector<Event> &events, bool hasGate)
{
    Publisher publisher;
    publisher.publish({{"services", servicesText({2, 1})}, {"u", upstreamsText("u", "s0", 6)}, {"routes", routesText({"s0"})}});
    std::vector<std::unique_ptr<TestNode>> nodes(3);
    for (auto &node : nodes) {
        node = std::make_unique<TestNode>(hasGate);
    }
    std::map<std::uint64_t, std::string> digests; // Digest of the document by accepted revision, over all nodes.
    for (const Event &event : events) {
        std::unique_ptr<TestNode> &node = nodes[event.node];
        const std::string manifest = publisher.manifests[event.choice % publisher.manifests.size()].toJson();
        const auto all = Manifest::parse(manifest)->allDigests();
        const TestNode &peer = *nodes[(event.node + 1 + event.choice % 2) % 3];
        const std::uint64_t before = node->document() == nullptr ? 0 : node->document()->revision;
        switch (event.kind) {
        case 0:
            publisher.publish({contentOf(event.choice, event.variant)});
            break;
        case 1:
            node->offer(manifest);
            break;
        case 2:
            node->copySections(manifest, publisher.values);
            node->offer(manifest);
            break;
        case 3:
            CPPUNIT_ASSERT(node->cache.put(all[event.variant % all.size()], *publisher.values.bytes(all[event.variant % all.size()])).ok());
            break;
        case 4:
            if (const std::string offered = peer.manifest(); !offered.empty()) {
                node->gate.recordPeerRevision(peer.document()->revision);
                node->copySections(offered, peer.cache);
                node->offer(offered);
            }
            break;
        default:
            // A restarted node starts without a document but receives its peers' revisions before it puts a document in force.
            node = std::make_unique<TestNode>(hasGate);
            for (const auto &other : nodes) {
                node->gate.recordPeerRevision(other->document() == nullptr ? 0 : other->document()->revision);
            }
            continue;
        }
        if (const auto document = node->document(); document != nullptr) {
            if (document->revision < before) {
                return "revision " + std::to_string(document->revision) + " after " + std::to_string(before);
            }
            if (document->revision != before && hasGate && document->revision < node->gate.highestKnownRevision(start) && before == 0) {
                return "started with revision " + std::to_string(document->revision);
            }
            if (digests.try_emplace(document->revision, document->digest).first->second != document->digest) {
                return "two documents of revision " + std::to_string(document->revision);
            }
        }
    }
    // All nodes that receive the last revision must agree, whatever they missed before.
    std::set<std::string> last;
    for (const auto &node : nodes) {
        node->copySections(publisher.manifests.back().toJson(), publisher.values);
        node->offer(publisher.manifests.back().toJson());
        if (node->document() != nullptr && node->document()->revision == publisher.manifests.back().revision) {
            last.insert(node->document()->digest);
        }
    }
    return last.size() > 1 ? "nodes differ at the end" : "";
}

/// Offer to a gate that has revision 5 in force, with the expected decision, error kind and part of the error message.
struct GateCase
{
    const char *what;
    std::string manifest;
    GateDecision decision;
    ErrorKind kind;
    const char *text;
};

/// Query results of a starting node, and the expected decision.
struct StartCase
{
    const char *what;
    int service; ///< 1 replied, -1 failed, 0 waiting.
    int otherVms; ///< Number of other live VMs; -1 when the list is unknown.
    std::vector<std::pair<const char *, int>> peers; ///< Failure domain and result of the query, with the values of `service`.
    std::uint64_t revision;
    std::uint64_t knownRevision;
    StartDecision decision;
};

const StartCase startCases[] = {
    {"nothing yet", 0, -1, {}, 0, 0, StartDecision::WaitForService},
    {"neither service nor peer replies", -1, -1, {{"a", -1}}, 0, 0, StartDecision::WaitForPeer},
    {"service alone, other VMs live", 1, 2, {{"a", -1}, {"b", -1}}, 5, 0, StartDecision::WaitForPeer},
    {"service alone, VM list unknown", 1, -1, {}, 5, 0, StartDecision::WaitForPeer},
    {"service alone, no other VM", 1, 0, {}, 5, 0, StartDecision::Serve},
    {"no other VM, no document", 1, 0, {}, 0, 0, StartDecision::WaitForDocument},
    {"service and a peer", 1, 2, {{"a", 1}, {"a", 0}, {"b", -1}}, 5, 5, StartDecision::Serve},
    {"a failure domain not settled", 1, 2, {{"a", 1}, {"b", 0}, {"b", -1}}, 5, 5, StartDecision::WaitForFailureDomain},
    {"a peer has a higher revision", 1, 2, {{"a", 1}, {"b", 1}}, 5, 6, StartDecision::WaitForRevision},
    {"service down, a peer has the document", -1, -1, {{"a", 1}}, 5, 5, StartDecision::Serve},
    {"service down, peers are starting", -1, -1, {{"a", 1}}, 0, 0, StartDecision::WaitForDocument},
    {"service frozen", 0, 2, {{"a", 1}}, 5, 5, StartDecision::WaitForService},
};

} // namespace

class RevisionGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RevisionGateTest);
    CPPUNIT_TEST(anyOrderGivesOneDocumentForEachRevision);
    CPPUNIT_TEST(revisionsDecreaseWithoutTheGate);
    CPPUNIT_TEST(concurrentChangesOfTwoTeamsGiveOneOutcome);
    CPPUNIT_TEST(repeatedErrorsDelayNoOtherTeam);
    CPPUNIT_TEST(invalidOffersLeaveDocumentUnchanged);
    CPPUNIT_TEST(incompleteManifestDelaysStartForBoundedTime);
    CPPUNIT_TEST(startRuleTable);
    CPPUNIT_TEST(cacheIsBoundedAndVerified);
    CPPUNIT_TEST(allManifestErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against violations of P7 after lost, repeated or reordered manifests and sections, including restarts.
    void anyOrderGivesOneDocumentForEachRevision()
    {
        CPPUNIT_ASSERT(rc::check("one document for each revision, never a lower one", [] {
            const auto events = *rc::gen::scale(4.0, eventsGen()).as("events");
            const std::string violation = violationOf(events, true);
            RC_LOG() << violation;
            RC_ASSERT(violation.empty());
        }));
    }

    /// Guards against a property test that cannot fail: without the gate, events of the same kind put lower revisions in force.
    void revisionsDecreaseWithoutTheGate()
    {
        int violations = 0;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            violations += violationOf(eventsGen()(rc::Random(seed), 200).value(), false).empty() ? 0 : 1;
        }
        CPPUNIT_ASSERT(violations > 0);
    }

    /// Guards against an invalid change of one team that alters or delays the valid change of another team, in any order.
    void concurrentChangesOfTwoTeamsGiveOneOutcome()
    {
        const std::pair<std::string, std::string> valid{"u", upstreamsText("u", "s0", 7)};
        const std::pair<std::string, std::string> invalid[]
            = {{"routes", "{"}, {"routes", routesText({"s0", "s9"})}, {"services", servicesText({9, 1})}, {"services", servicesText({})}};
        for (const auto &wrong : invalid) {
            std::set<std::string> outcomes;
            using Changes = std::vector<std::vector<std::pair<std::string, std::string>>>;
            for (const Changes &order : {Changes{{valid}, {wrong}}, Changes{{wrong}, {valid}}, Changes{{valid, wrong}}}) {
                Publisher publisher;
                publisher.publish({{"services", servicesText({2})}, {"u", upstreamsText("u", "s0", 6)}, {"routes", routesText({"s0"})}});
                for (const auto &change : order) {
                    publisher.publish(change);
                }
                // One node receives every revision, the other only the last one.
                std::set<std::string> digests;
                for (const std::size_t first : {std::size_t{0}, publisher.manifests.size() - 1}) {
                    TestNode node(true);
                    for (std::size_t i = first; i < publisher.manifests.size(); ++i) {
                        node.copySections(publisher.manifests[i].toJson(), publisher.values);
                        node.offer(publisher.manifests[i].toJson());
                    }
                    CPPUNIT_ASSERT_EQUAL(publisher.manifests.back().revision, node.gate.revision());
                    digests.insert(node.gate.document()->digest);
                    std::string outcome;
                    for (const SectionInfo &info : node.gate.document()->sections) {
                        outcome += info.name + " " + info.digest + (info.heldBack ? " held back\n" : "\n");
                    }
                    CPPUNIT_ASSERT(outcome.find("u " + sha256Hex(valid.second) + "\n") != std::string::npos);
                    CPPUNIT_ASSERT(outcome.find(wrong.first + " " + sha256Hex(wrong.second)) == std::string::npos);
                    outcomes.insert(outcome);
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, digests.size());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        }
    }

    /// Guards against a fall-back to content that is itself invalid, which would cause the revisions of all teams to be refused.
    void repeatedErrorsDelayNoOtherTeam()
    {
        Publisher publisher;
        publisher.publish({{"services", servicesText({2})}, {"u", upstreamsText("u", "s0", 6)}, {"routes", routesText({"s0"})}});
        publisher.publish({{"routes", "{"}});
        publisher.publish({{"routes", "["}});
        publisher.publish({{"u", upstreamsText("u", "s0", 7)}});
        publisher.publish({{"a", "{"}});
        publisher.publish({{"u", ""}});
        TestNode node(true);
        for (const Manifest &manifest : publisher.manifests) {
            node.copySections(manifest.toJson(), publisher.values);
            const GateResult result = node.gate.offer(manifest.toJson(), start);
            CPPUNIT_ASSERT_MESSAGE(std::string(result.status.message()), result.decision == GateDecision::Accepted);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, node.gate.document()->upstreams.size());
        publisher.publish({{"routes", routesText({"s0"}, ", hedge: true")}, {"a", ""}});
        node.copySections(publisher.manifests.back().toJson(), publisher.values);
        const GateResult repaired = node.gate.offer(publisher.manifests.back().toJson(), start);
        CPPUNIT_ASSERT(repaired.acceptance.heldBack == std::vector<std::string>{"u"});
        CPPUNIT_ASSERT(node.gate.document()->routes.find("/s0")->hedge);
    }

    /// Guards against invalid offers that change the document in force, or that are refused without an alarm.
    void invalidOffersLeaveDocumentUnchanged()
    {
        TestNode node(true);
        const std::string s0 = servicesText({1});
        const std::vector<TestSection> sections = {{"services", s0, ""}, {"u", upstreamsText("u", "s0", 3), ""}};
        const auto json = [&node, &sections](std::uint64_t revision) {
            return makeManifest(revision, sections, node.cache).toJson();
        };
        Manifest foreign = makeManifest(6, sections, node.cache);
        foreign.fleet = "other";
        Manifest incomplete = makeManifest(6, sections, node.cache);
        incomplete.sections[0].digest = std::string(64, '0');
        const std::string refused = makeManifest(6, {{"services", "{", servicesText({9})}, sections[1]}, node.cache).toJson();
        const std::string other = makeManifest(5, {sections[0]}, node.cache).toJson();
        CPPUNIT_ASSERT(node.gate.offer(json(5), start).decision == GateDecision::Accepted);
        const auto inForce = node.gate.document();
        const GateCase cases[] = {
            {"same again", json(5), GateDecision::AlreadyInForce, ErrorKind::Internal, ""},
            {"older", json(4), GateDecision::Refused, ErrorKind::ConfigStale, "revision 4 is lower than 5"},
            {"other content", other, GateDecision::Refused, ErrorKind::ConfigInvalid, "revision 5 is in force with other content"},
            {"malformed", "<html>", GateDecision::Refused, ErrorKind::ConfigInvalid, "not a JSON object"},
            {"other fleet", foreign.toJson(), GateDecision::Refused, ErrorKind::ConfigInvalid, "fleet 'other'; allowed: 'test'"},
            {"incomplete", incomplete.toJson(), GateDecision::Incomplete, ErrorKind::ConfigInvalid, "1 section values are missing"},
            {"invalid", refused, GateDecision::Refused, ErrorKind::ConfigInvalid, "(owner services team) line 1: not valid YAML"},
            {"empty", "", GateDecision::Refused, ErrorKind::ConfigInvalid, "not a JSON object"},
        };
        for (const GateCase &row : cases) {
            const GateResult result = node.gate.offer(row.manifest, start);
            const std::string text(result.status.message());
            CPPUNIT_ASSERT_MESSAGE(row.what + text, result.decision == row.decision && text.find(row.text) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(row.decision == GateDecision::AlreadyInForce, result.status.ok());
            CPPUNIT_ASSERT(result.status.ok() || errorKindOf(result.status) == row.kind);
            CPPUNIT_ASSERT(node.gate.document() == inForce && node.gate.manifestBytes() == json(5));
            CPPUNIT_ASSERT(!result.isRepeated && node.gate.offer(row.manifest, start).isRepeated == !result.status.ok());
        }
        CPPUNIT_ASSERT(node.gate.offer(json(7), start).decision == GateDecision::Accepted);
    }

    /// Guards against a node that starts with an outdated revision, and against one missing value that keeps all restarted nodes from
    /// serving.
    void incompleteManifestDelaysStartForBoundedTime()
    {
        TestNode node(true);
        const std::vector<TestSection> sections = {{"services", servicesText({1}), ""}};
        Manifest incomplete = makeManifest(6, sections, node.cache);
        incomplete.sections[0].digest = std::string(64, '0');
        const std::string older = makeManifest(5, sections, node.cache).toJson();
        CPPUNIT_ASSERT(node.gate.offer(incomplete.toJson(), start).decision == GateDecision::Incomplete);
        const TimePoint late = start + RevisionGate::incompleteHold;
        CPPUNIT_ASSERT(errorKindOf(node.gate.offer(older, late - Duration(1)).status) == ErrorKind::ConfigStale);
        node.gate.offer(incomplete.toJson(), late - Duration(1));
        CPPUNIT_ASSERT(node.gate.offer(older, late).decision == GateDecision::Accepted);

        TestNode second(true);
        second.gate.recordPeerRevision(6);
        second.copySections(older, node.cache);
        CPPUNIT_ASSERT(errorKindOf(second.gate.offer(older, late).status) == ErrorKind::ConfigStale);
    }

    /// Guards against a node that starts serving too early or never.
    void startRuleTable()
    {
        for (const StartCase &row : startCases) {
            TestNode node(true);
            StartRule rule;
            if (row.service != 0) {
                rule.serviceReplied(row.service > 0);
            }
            if (row.otherVms >= 0) {
                rule.setOtherLiveVms(static_cast<std::size_t>(row.otherVms));
            }
            for (std::size_t i = 0; i < row.peers.size(); ++i) {
                const std::string name = "peer-" + std::to_string(i);
                rule.peerQueried(name, row.peers[i].first);
                if (row.peers[i].second != 0) {
                    row.peers[i].second > 0 ? rule.peerReplied(name) : rule.peerFailed(name);
                }
            }
            if (row.revision > 0) {
                node.offer(makeManifest(row.revision, {{"services", servicesText({1}), ""}}, node.cache).toJson());
            }
            node.gate.recordPeerRevision(row.knownRevision);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.what, std::string(startDecisionText(row.decision)), std::string(startDecisionText(rule.decide(node.gate, start))));
        }
    }

    /// Guards against memory that grows with each revision, and against a stored value that does not match its digest.
    void cacheIsBoundedAndVerified()
    {
        SectionCache cache(3'000);
        CPPUNIT_ASSERT(errorKindOf(cache.put(sha256Hex("a"), "b")) == ErrorKind::ConfigInvalid);
        const std::string large(1024 * 1024 + 1, ' ');
        CPPUNIT_ASSERT(errorKindOf(cache.put(sha256Hex(large), large)) == ErrorKind::ConfigInvalid);
        std::vector<std::string> digests;
        for (int i = 0; i < 10; ++i) {
            const std::string value = sectionText("x", "accounts: []\n#" + std::string(900, static_cast<char>('a' + i)));
            digests.push_back(sha256Hex(value));
            CPPUNIT_ASSERT(cache.put(digests.back(), value).ok() && cache.put(digests.back(), value).ok());
            cache.pin(std::vector<std::string>{digests.front()});
            CPPUNIT_ASSERT(cache.totalBytes() <= 3'000);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, cache.missing(digests).size());
        CPPUNIT_ASSERT(cache.contains(digests.front()) && cache.contains(digests.back()));
        CPPUNIT_ASSERT(cache.section(digests.back(), "x") == cache.section(digests.back(), "x"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cache.parseCount());
        CPPUNIT_ASSERT(!cache.section(digests.back(), "y")->findings.empty());
    }

    /// Guards against a manifest that two nodes read differently, and against errors in a manifest that are not reported.
    void allManifestErrorsAreReported()
    {
        const std::string digest(64, 'a');
        const std::string entry = R"({"name": "x", "digest": ")" + digest + R"(", "previous": ""})";
        const std::pair<std::string, std::string> cases[] = {
            {R"({"fleet": "", "revision": -1, "sections": [)" + entry + "," + entry
                 + R"(, 3, {"name": "y", "digest": "A", "previous": ""}]})",
             "manifest: fleet: must be a non-empty string; revision: must be a whole number above 0; sections[1]: name 'x': given "
             "twice; "
             "sections[2]: not an object; sections[3]: section 'y': digest and previous must each be 64 lower-case hexadecimal digits or "
             "empty"},
            {R"({"fleet": "f", "revision": 1, "sections": []})", "manifest: sections: must be a list of 1 to 4096 entries"},
            {R"({"fleet": "f", "revision": 1.5, "sections": [)" + entry + "]}", "manifest: revision: must be a whole number above 0"},
            {R"({"fleet": "f", "revision": 1, "sections": [{"name": "x", "digest": "", "previous": ""}]})",
             "manifest: sections[0]: section 'x': digest and previous must not both be empty"},
        };
        for (const auto &[json, error] : cases) {
            CPPUNIT_ASSERT_EQUAL(error, std::string(Manifest::parse(json).status().message()));
        }
        const Manifest manifest{"f", 18'446'744'073'709'551'615U, {{"x", digest, ""}, {"y", "", digest}}};
        CPPUNIT_ASSERT(*Manifest::parse(manifest.toJson()) == manifest);
        CPPUNIT_ASSERT(manifest.allDigests() == std::vector<std::string>{digest});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionGateTest);
