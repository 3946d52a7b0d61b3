#include "drivers/logging/log_timeline.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace monsoonsail;

/// Checks which log lines an operator is shown for a request, and in which form.
class LogTimelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTimelineTest);
    CPPUNIT_TEST(linesOfSeveralProcessesAreJoined);
    CPPUNIT_TEST(onlyRelatedContextLinesAreShown);
    CPPUNIT_TEST(unreadableLinesAreCounted);
    CPPUNIT_TEST(formattedLineNamesTheFields);
    CPPUNIT_TEST_SUITE_END();

    LogTimeline m_timeline{"r1"};

    void read(const std::string &log)
    {
        std::istringstream stream(log);
        m_timeline.read(stream);
    }
    std::string events() const
    {
        std::string events;
        for (const auto &line : m_timeline.lines(5))
            events += line.at("event").get<std::string>() + " ";
        return events;
    }

public:
    void linesOfSeveralProcessesAreJoined()
    {
        read(R"({"time":12.5,"instance":"b","event":"request-answered","request":"r1"})"
             "\n"
             R"({"time":12.1,"instance":"b","event":"attempt-started","request":"r2"})"
             "\n");
        read(R"({"time":11.5,"instance":"a","event":"request-refused","request":"r1"})"
             "\n");
        CPPUNIT_ASSERT_EQUAL(std::string("request-refused request-answered "), events());
    }

    void onlyRelatedContextLinesAreShown()
    {
        read(R"({"time":20,"instance":"a","event":"attempt-started","request":"r1","endpoint":"e1"}
{"time":21,"instance":"a","event":"attempt-ended","request":"r1","endpoint":"e1"}
{"time":20.5,"instance":"a","event":"endpoint-silent","endpoint":"e1"}
{"time":20.5,"instance":"a","event":"endpoint-state","endpoint":"e2"}
{"time":18,"instance":"a","event":"topic-lost","topic":"t"}
{"time":18,"instance":"b","event":"topic-regained","topic":"t"}
{"time":14,"instance":"a","event":"started"}
{"time":22,"instance":"a","event":"stopped"}
)");
        CPPUNIT_ASSERT_EQUAL(
                std::string("topic-lost attempt-started endpoint-silent attempt-ended "), events());
    }

    void unreadableLinesAreCounted()
    {
        read("text\n\n{\"event\":\"x\"}\n[1]\n{\"time\":\"1\",\"event\":\"x\"}\n");
        CPPUNIT_ASSERT(m_timeline.lines(5).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_timeline.unreadableLines());
    }

    void formattedLineNamesTheFields()
    {
        read(R"({"time":1.25,"level":"info","instance":"a","event":"attempt-ended","request":"r1",)"
             R"("status":500,"reason":"reset"})"
             "\n");
        CPPUNIT_ASSERT_EQUAL(std::string("1.250  a  attempt-ended status=500 reason=reset"),
                             formatLogLine(m_timeline.lines(5).front()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTimelineTest);
