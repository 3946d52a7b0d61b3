#include "drivers/metrics/prometheus_metrics.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Checks the names and labels of metrics, on which dashboards and docs/OPERATIONS.md depend.
class PrometheusMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrometheusMetricsTest);
    CPPUNIT_TEST(answersFillHistogramsByRouteAndAccount);
    CPPUNIT_TEST(delaysFillHistograms);
    CPPUNIT_TEST(predictionErrorsFillHistograms);
    CPPUNIT_TEST(refusalsAreCountedByAccountAndKind);
    CPPUNIT_TEST(rolloutRunsAreCountedByPhase);
    CPPUNIT_TEST(gaugeKeepsItsNewestValue);
    CPPUNIT_TEST_SUITE_END();

    PrometheusMetrics m_metrics;

    void assertHas(const std::string &line) const
    {
        const std::string text = m_metrics.text();
        CPPUNIT_ASSERT_MESSAGE(line + " is missing in:\n" + text,
                               text.find(line + "\n") != std::string::npos);
    }

public:
    void answersFillHistogramsByRouteAndAccount()
    {
        m_metrics.recordAnswer("lookup", "club", milliseconds(50), milliseconds(300));
        m_metrics.recordAnswer("lookup", "club", milliseconds(90), milliseconds(300));
        m_metrics.recordAnswer("lookup", "range", milliseconds(90), milliseconds(700));
        m_metrics.recordLongestPause("lookup", milliseconds(10));
        assertHas(R"(monsoonsail_first_byte_seconds_bucket{route="lookup",le="0.08"} 1)");
        assertHas(R"(monsoonsail_first_byte_seconds_count{route="lookup"} 3)");
        assertHas(R"(monsoonsail_request_seconds_count{account="club"} 2)");
        assertHas(R"(monsoonsail_request_seconds_bucket{account="range",le="0.6"} 0)");
        assertHas(R"(monsoonsail_longest_pause_seconds_count{route="lookup"} 1)");
    }

    void delaysFillHistograms()
    {
        m_metrics.recordEndpointUpdate(milliseconds(350));
        m_metrics.recordLoopDelay(milliseconds(5));
        assertHas(R"(monsoonsail_endpoint_update_seconds_bucket{le="0.35"} 1)");
        assertHas(R"(monsoonsail_loop_delay_seconds_bucket{le="0.01"} 1)");
    }

    void predictionErrorsFillHistograms()
    {
        m_metrics.recordPredictionError("model", "review", PredictedPoint::FirstEvent, 1.4);
        m_metrics.recordPredictionError("model", "review", PredictedPoint::End, 0.7);
        assertHas(R"(monsoonsail_prediction_error_ratio_bucket{point="first-event",)"
                  R"(route="review",service="model",le="1.25"} 0)");
        assertHas(R"(monsoonsail_prediction_error_ratio_bucket{point="first-event",)"
                  R"(route="review",service="model",le="1.5"} 1)");
        assertHas(R"(monsoonsail_prediction_error_ratio_count{point="end",)"
                  R"(route="review",service="model"} 1)");
    }

    void refusalsAreCountedByAccountAndKind()
    {
        m_metrics.recordRefusal("club", ErrorKind::NoEndpoint);
        m_metrics.recordRefusal("club", ErrorKind::NoEndpoint);
        const std::string kind(errorAnswer(ErrorKind::NoEndpoint).name);
        assertHas(R"(monsoonsail_refusals_total{account="club",kind=")" + kind + "\"} 2");
    }

    void rolloutRunsAreCountedByPhase()
    {
        m_metrics.recordRolloutRun("flags", "trial");
        m_metrics.recordRolloutRun("flags", "trial");
        assertHas(R"(monsoonsail_rollout_runs_total{phase="trial",service="flags"} 2)");
    }

    void gaugeKeepsItsNewestValue()
    {
        m_metrics.setGauge("monsoonsail_requests", "Requests in progress", 3);
        m_metrics.setGauge("monsoonsail_requests", "Requests in progress", 2);
        assertHas("monsoonsail_requests 2");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrometheusMetricsTest);
