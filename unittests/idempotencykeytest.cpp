#include <galenarack/execution/idempotencykey.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Galenarack;

class IdempotencyKeyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdempotencyKeyTest);
    CPPUNIT_TEST(rejectsOtherSpellings);
    CPPUNIT_TEST(generatedKeysRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a key with several text forms, and against accepting texts that the fleet did not generate.
    void rejectsOtherSpellings()
    {
        const char *valid = "gk1.vm-1.00000000000000a1.1234567.0000000000000abc";
        CPPUNIT_ASSERT_EQUAL(std::string(valid), IdempotencyKey::parse(valid)->toString());
        for (const char *text : {"",
                                 "order-4711",
                                 "gk1.",
                                 "gk2.vm-1.00000000000000a1.1234567.0000000000000abc",
                                 "gk1..00000000000000a1.1234567.0000000000000abc",
                                 "gk1.vm_1.00000000000000a1.1234567.0000000000000abc",
                                 "gk1.vm-1.0000000000000000.1234567.0000000000000abc",
                                 "gk1.vm-1.a1.1234567.0000000000000abc",
                                 "gk1.vm-1.00000000000000A1.1234567.0000000000000abc",
                                 "gk1.vm-1.00000000000000a1.01234567.0000000000000abc",
                                 "gk1.vm-1.00000000000000a1.-1.0000000000000abc",
                                 "gk1.vm-1.00000000000000a1.9223372036854775807.0000000000000abc",
                                 "gk1.vm-1.00000000000000a1..0000000000000abc",
                                 "gk1.vm-1.00000000000000a1.1234567.abc",
                                 "gk1.vm-1.00000000000000a1.1234567.0000000000000abc.",
                                 "gk1.vm-1.00000000000000a1.1234567.0000000000000abc "}) {
            CPPUNIT_ASSERT_MESSAGE(text, !IdempotencyKey::parse(text));
        }
    }

    /// Guards against generated keys that do not parse, are issued in the future or are equal.
    void generatedKeysRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("generated keys round-trip", [] {
            KeyGenerator keyGenerator(*rc::gen::arbitrary<std::uint64_t>());
            const auto vm = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("azAZ09-"))));
            RC_PRE(isKeyVmName(vm));
            const TimePoint now(Duration(*rc::gen::inRange<std::int64_t>(0, std::int64_t(1) << 50)));
            const Incarnation home{*rc::gen::positive<std::uint64_t>()};
            const IdempotencyKey key = keyGenerator.generate(vm, home, now);
            RC_ASSERT(IdempotencyKey::parse(key.toString()) == key);
            RC_ASSERT(key.issued <= now);
            RC_ASSERT(!(keyGenerator.generate(vm, home, now) == key));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyKeyTest);
