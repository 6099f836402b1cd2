#include "executionmodel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

using namespace ExecutionModel;

namespace {

constexpr std::uint64_t stepsPerSimulation = 2'500;

std::uint64_t settingOr(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

void print(std::uint64_t maxGapMs, std::uint64_t seed, const Counts &counts)
{
    const double share = 100.0 * static_cast<double>(counts.resolved) / static_cast<double>(counts.uncertain);
    std::cout << "\nseed " << seed << ", up to " << maxGapMs << " ms between faults, " << counts.steps << " steps: " << counts.answered
              << " answered, " << counts.reportedNotRun << " reported as not run, " << counts.joinedOrRetained << " joined or retained, "
              << counts.ledgerFull << " times full; " << counts.uncertain << " uncertain outcomes, " << counts.resolved << " resolved ("
              << share << "%), " << counts.stillRunning << " still running at the deadline" << std::flush;
}

/// Runs simulations with random faults until the given number of steps is done or a property is violated.
/// @return the description of the violation, or an empty text
std::string runSimulations(std::uint64_t seed, std::uint64_t steps, std::uint64_t maxGapMs, DisabledProtection disabled, Counts &counts)
{
    std::mt19937_64 random(seed);
    std::string violation;
    while (counts.steps < steps && violation.empty()) {
        const std::uint64_t simulationSeed = random();
        Simulation simulation(simulationSeed, randomFaults(random, maxGapMs), disabled);
        violation = simulation.run(std::min(stepsPerSimulation, steps - counts.steps));
        counts += simulation.counts;
    }
    return violation;
}

rc::Gen<Fault> anyFault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::element(Fault::CutOneWay, Fault::Isolate, Fault::Freeze, Fault::Restart, Fault::NewRevision)),
        rc::gen::set(&Fault::node, rc::gen::inRange<std::size_t>(0, nodeCount)),
        rc::gen::set(&Fault::other, rc::gen::inRange<std::size_t>(0, nodeCount)),
        rc::gen::set(&Fault::gapMs, rc::gen::inRange(0, 800)),
        rc::gen::set(&Fault::durationMs, rc::gen::inRange(0, 5000)));
}

} // namespace

namespace ExecutionModel {

void showValue(const Fault &fault, std::ostream &out)
{
    out << "{" << fault.kind << ", node " << fault.node << ", other " << fault.other << ", after " << fault.gapMs << " ms, for "
        << fault.durationMs << " ms}";
}

} // namespace ExecutionModel

class ExecutionPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutionPropertyTest);
    CPPUNIT_TEST(holdsForSeededFaults);
    CPPUNIT_TEST(holdsForGeneratedFaults);
    CPPUNIT_TEST(findsViolationWithoutEachProtection);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a sequence of faults after which non-repeatable work runs twice, work reported as not run has run or
    /// runs later, or a caller receives the response of another request.
    /// GALENARACK_MODEL_SEED and GALENARACK_MODEL_STEPS set the seed and the total number of steps.
    void holdsForSeededFaults()
    {
        const std::uint64_t seed = settingOr("GALENARACK_MODEL_SEED", 20261204);
        const std::uint64_t steps = settingOr("GALENARACK_MODEL_STEPS", 1'000'000);
        Counts total;
        constexpr std::uint64_t maxGapsMs[] = {300, 1'200, 4'800, 20'000};
        for (const std::uint64_t maxGapMs : maxGapsMs) {
            Counts counts;
            const std::string violation = runSimulations(seed, steps / std::size(maxGapsMs), maxGapMs, DisabledProtection::None, counts);
            print(maxGapMs, seed, counts);
            CPPUNIT_ASSERT_EQUAL(std::string(), violation);
            total += counts;
        }
        // The properties would also hold if no request took these paths.
        CPPUNIT_ASSERT(total.answered > 0 && total.reportedNotRun > 0 && total.resolved > 0);
        CPPUNIT_ASSERT(total.joinedOrRetained > 0 && total.ledgerFull > 0);
    }

    /// Guards against the same violations with lists of faults that RapidCheck shrinks to a minimal failing list.
    void holdsForGeneratedFaults()
    {
        Counts counts;
        const bool holds = rc::check("properties of execution", [&counts] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            Simulation simulation(seed, *rc::gen::container<std::vector<Fault>>(anyFault()), DisabledProtection::None);
            const std::string violation = simulation.run(stepsPerSimulation);
            counts += simulation.counts;
            RC_ASSERT(violation == std::string());
        });
        CPPUNIT_ASSERT(holds);
        CPPUNIT_ASSERT(counts.steps >= 100'000);
    }

    /// Guards against a simulation that does not detect violations: it has to find one when a protection is disabled.
    void findsViolationWithoutEachProtection()
    {
        struct Row
        {
            DisabledProtection disabled;
            const char *name;
            const char *violated; ///< Part of the violated property's text; the properties about execution contain "run".
        };
        const Row rows[] = {
            {DisabledProtection::Tombstone, "tombstone on outcome query", "run"},
            {DisabledProtection::HomeExpiry, "expiry in the home's clock", "run"},
            {DisabledProtection::IncarnationCheck, "incarnation check", "run"},
            {DisabledProtection::KeyBinding, "key binding", "run"},
            {DisabledProtection::UncertaintyRule, "no resend after an uncertain outcome", "run"},
            {DisabledProtection::ReceiptOrder, "order of receipt and refusal", "run"},
            {DisabledProtection::ReceiptBeforePause, "receipt before a pause", "never runs"},
            {DisabledProtection::Fingerprint, "fingerprint of a key", "own whole response"},
        };
        for (const Row &row : rows) {
            Counts counts;
            const std::string violation = runSimulations(20261204, 2'000'000, 1'200, row.disabled, counts);
            std::cout << "\nwithout " << row.name << ": " << violation << ", after " << counts.steps << " steps" << std::flush;
            CPPUNIT_ASSERT_MESSAGE(row.name, violation.find(row.violated) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionPropertyTest);
