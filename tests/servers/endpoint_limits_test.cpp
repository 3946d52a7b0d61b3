#include "servers/endpoints/endpoint_limits.h"
#include "tests/servers/serving_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Tests how the request limit of an endpoint is kept by one instance and by many.
class EndpointLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointLimitsTest);
    CPPUNIT_TEST(allInstancesTogetherKeepTheLimit);
    CPPUNIT_TEST(unusedSharesAreNotSaved);
    CPPUNIT_TEST(instanceThatIsCutOffKeepsItsShare);
    CPPUNIT_TEST(excessUsesArePaidForLater);
    CPPUNIT_TEST(liftedLimitEndsEverywhere);
    CPPUNIT_TEST(heardLimitIsNotPassedOn);
    CPPUNIT_TEST(olderAnswerDoesNotReplaceANewerOne);
    CPPUNIT_TEST(endpointWithLimitZeroIsStillAsked);
    CPPUNIT_TEST(otherIncarnationHasNoLimit);
    CPPUNIT_TEST(serviceOfLimitedEndpointsRefusesWithRetryTime);
    CPPUNIT_TEST(repeatsAndHedgesKeepTheLimit);
    CPPUNIT_TEST(statusChecksKeepTheLimit);
    CPPUNIT_TEST_SUITE_END();

    const EndpointId m_endpoint{"e/1"};
    Instant m_now = instantFromMicroseconds(1'000'000'000'000);

    EndpointLimitReport report(std::optional<double> perSecond) const
    {
        return {.endpoint = m_endpoint, .requestsPerSecond = perSecond, .receivedAt = m_now};
    }
    std::vector<EndpointLimits> fleet(unsigned size, double perSecond) const
    {
        std::vector<EndpointLimits> instances(size);
        for (unsigned own = 0; own < size; ++own) {
            std::vector<std::string> peers;
            for (unsigned other = 0; other < size; ++other) {
                if (other != own)
                    peers.push_back("front-" + std::to_string(other));
            }
            instances[own].shares().update("front-" + std::to_string(own), peers, {});
            instances[own].record(report(perSecond));
        }
        return instances;
    }
    static Peer peerWith(const EndpointLimits &limits, Instant now)
    {
        Peer peer{.receivedAt = now};
        limits.fillDigest(peer.digest, now);
        return peer;
    }
    /// Lets every instance send as much as it may, and returns when requests were sent.
    std::vector<Instant> sendAll(std::vector<EndpointLimits> &instances, Duration duration)
    {
        std::vector<Instant> sent;
        for (const Instant end = m_now + duration; m_now < end; m_now += milliseconds(50)) {
            for (EndpointLimits &instance : instances) {
                while (instance.mayUse(m_endpoint, m_now)) {
                    instance.recordUse(m_endpoint, m_now);
                    sent.push_back(m_now);
                }
            }
        }
        return sent;
    }
    static std::ptrdiff_t mostIn(const std::vector<Instant> &sent, Duration window)
    {
        std::ptrdiff_t most = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first)
            most = std::max(most, std::upper_bound(first, sent.end(), *first + window) - first);
        return most;
    }

public:
    void allInstancesTogetherKeepTheLimit()
    {
        for (const unsigned size : {1U, 5U, 33U, 118U}) {
            for (const double perSecond : {0.3, 1.0, 1.5, 7.0, 200.0}) {
                std::vector<EndpointLimits> instances = fleet(size, perSecond);
                const auto sent = sendAll(instances, seconds(30));
                const std::string setting =
                        std::to_string(size) + " instances, " + std::to_string(perSecond);
                CPPUNIT_ASSERT_MESSAGE(setting,
                                       static_cast<double>(mostIn(sent, seconds(4)))
                                               <= 1.5 * perSecond * 4 + 5);
                CPPUNIT_ASSERT_MESSAGE(setting,
                                       static_cast<double>(sent.size()) >= 30 * perSecond - 2);
            }
        }
    }

    void unusedSharesAreNotSaved()
    {
        std::vector<EndpointLimits> instances = fleet(33, 1);
        m_now += minutes(1);
        CPPUNIT_ASSERT(mostIn(sendAll(instances, seconds(4)), seconds(4)) <= 11);
    }

    void instanceThatIsCutOffKeepsItsShare()
    {
        std::vector<EndpointLimits> instances = fleet(5, 10);
        std::vector<EndpointLimits> cutOff{instances.front()};
        const std::size_t sent = sendAll(cutOff, seconds(30)).size();
        CPPUNIT_ASSERT(sent >= 55 && sent <= 65);
    }

    void excessUsesArePaidForLater()
    {
        std::vector<EndpointLimits> instances = fleet(1, 1);
        for (unsigned count = 0; count < 10; ++count)
            instances.front().recordUse(m_endpoint, m_now);
        CPPUNIT_ASSERT(sendAll(instances, seconds(8)).empty());
        CPPUNIT_ASSERT(!sendAll(instances, seconds(4)).empty());
    }

    void liftedLimitEndsEverywhere()
    {
        EndpointLimits reader;
        EndpointLimits other;
        CPPUNIT_ASSERT(reader.record(report(1)));
        CPPUNIT_ASSERT(!reader.record(report(1)));
        other.applyPeerDigest(peerWith(reader, m_now));
        other.recordUse(m_endpoint, m_now);
        CPPUNIT_ASSERT(!other.mayUse(m_endpoint, m_now));
        m_now += milliseconds(300);
        CPPUNIT_ASSERT(reader.record(report(std::nullopt)));
        other.applyPeerDigest(peerWith(reader, m_now));
        CPPUNIT_ASSERT(other.mayUse(m_endpoint, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.limitedCount());
    }

    void heardLimitIsNotPassedOn()
    {
        EndpointLimits reader;
        EndpointLimits other;
        reader.record(report(1));
        other.applyPeerDigest(peerWith(reader, m_now));
        CPPUNIT_ASSERT(peerWith(other, m_now).digest.endpointLimits.empty());
    }

    void olderAnswerDoesNotReplaceANewerOne()
    {
        EndpointLimits reader;
        EndpointLimits other;
        reader.record(report(1));
        const Peer late = peerWith(reader, m_now + seconds(1));
        m_now += milliseconds(500);
        other.record(report(4));
        other.applyPeerDigest(late);
        CPPUNIT_ASSERT(peerWith(other, m_now).digest.endpointLimits.at(0).perSecond == 4.0);
    }

    void endpointWithLimitZeroIsStillAsked()
    {
        std::vector<EndpointLimits> instances = fleet(5, 0);
        const auto sent = sendAll(instances, seconds(60));
        CPPUNIT_ASSERT(sent.size() >= 10);
        CPPUNIT_ASSERT(mostIn(sent, seconds(4)) <= 5);
    }

    void otherIncarnationHasNoLimit()
    {
        std::vector<EndpointLimits> instances = fleet(5, 0);
        CPPUNIT_ASSERT(instances.front().mayUse(EndpointId("e/2"), m_now));
    }

    void serviceOfLimitedEndpointsRefusesWithRetryTime()
    {
        ServingFixture fixture;
        for (const std::string instance : {"e0", "e1", "e2", "e3"}) {
            fixture.context.endpointLimits.record({.endpoint = endpointId(instance, 1),
                                                   .requestsPerSecond = 1,
                                                   .receivedAt = fixture.now});
        }
        for (unsigned count = 0; count < 5; ++count)
            fixture.arrive("/plan/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.traffic.starts.size());
        CPPUNIT_ASSERT(fixture.lastRefusal() == ErrorKind::Overloaded);
        const Instant retryAt = fixture.traffic.refusals.back().retryAt.value();
        CPPUNIT_ASSERT(retryAt > fixture.now && retryAt <= fixture.now + seconds(1));
    }

    void statusChecksKeepTheLimit()
    {
        ServingFixture fixture;
        const RequestNumber request = fixture.arrive("/review/1");
        const EndpointId endpoint = fixture.latestAttempt(request).endpoint;
        for (const std::string peer : {"e0", "e1", "e2", "e3"}) {
            fixture.context.endpointLimits.record({.endpoint = endpointId(peer, 1),
                                                   .requestsPerSecond = 0,
                                                   .receivedAt = fixture.now});
        }
        fixture.context.endpointLimits.recordUse(endpoint, fixture.now);
        fixture.progress(request, 1, 1);
        fixture.unresponsive.insert(endpoint);
        fixture.advance(milliseconds(1500));
        CPPUNIT_ASSERT(fixture.log.lastTexts.count("endpoint-silent") == 0);
        fixture.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("no events"),
                             fixture.log.lastTexts["endpoint-silent"]["reason"]);
    }

    void repeatsAndHedgesKeepTheLimit()
    {
        ServingFixture fixture;
        for (const std::string instance : {"s0", "s1", "s2", "s3"}) {
            fixture.context.endpointLimits.record({.endpoint = endpointId(instance, 1),
                                                   .requestsPerSecond = 1,
                                                   .receivedAt = fixture.now});
        }
        for (unsigned count = 0; count < 3; ++count)
            fixture.arrive("/look/1");
        const RequestNumber last = fixture.arrive("/look/1");
        fixture.endAttempt(last, AttemptResult::Answered, 500);
        fixture.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.traffic.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLimitsTest);
